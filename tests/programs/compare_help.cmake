# Fails unless PAGE holds what "PROGRAM --help" prints, indented by four. With
# UPDATE, writes it between the title and the notes of PAGE instead.
execute_process(COMMAND ${PROGRAM} --help
  OUTPUT_VARIABLE help RESULT_VARIABLE result)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "${PROGRAM} --help ended with ${result}")
endif()
string(REGEX REPLACE "\n+$" "" help "${help}")
string(REPLACE "\n" "\n    " block "    ${help}")
string(REGEX REPLACE "\n +\n" "\n\n" block "${block}")
file(READ ${PAGE} page)
if(UPDATE)
  string(FIND "${page}" "\n\n" title_end)
  string(FIND "${page}" "## Notes" notes_start)
  string(SUBSTRING "${page}" 0 ${title_end} title)
  string(SUBSTRING "${page}" ${notes_start} -1 notes)
  file(WRITE ${PAGE} "${title}\n\n${block}\n\n${notes}")
  return()
endif()
string(FIND "${page}" "${block}" at)
if(at EQUAL -1)
  message(FATAL_ERROR "${PAGE} does not hold the text below; "
    "\"cmake --build --preset release --target update_help_pages\" "
    "writes it there.\n${block}")
endif()
