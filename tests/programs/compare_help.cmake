# Fails unless PAGE holds what "PROGRAM --help" prints, indented by four.
execute_process(COMMAND ${PROGRAM} --help
  OUTPUT_VARIABLE help RESULT_VARIABLE result)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "${PROGRAM} --help ended with ${result}")
endif()
string(REGEX REPLACE "\n+$" "" help "${help}")
string(REPLACE "\n" "\n    " block "    ${help}")
string(REGEX REPLACE "\n +\n" "\n\n" block "${block}")
file(READ ${PAGE} page)
string(FIND "${page}" "${block}" at)
if(at EQUAL -1)
  message(FATAL_ERROR "${PAGE} does not hold this text:\n${block}")
endif()
