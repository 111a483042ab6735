# Compiler settings shared by every target.
add_library(radishrudder_options INTERFACE)
target_compile_options(radishrudder_options INTERFACE
  -Wall -Wextra -Wpedantic -Werror -Wno-unused-parameter)
# Standalone Asio, also inside RESTinio.
target_compile_definitions(radishrudder_options INTERFACE ASIO_STANDALONE)
if(RADISHRUDDER_SANITIZE)
  target_compile_options(radishrudder_options INTERFACE
    -fsanitize=${RADISHRUDDER_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(radishrudder_options INTERFACE
    -fsanitize=${RADISHRUDDER_SANITIZE})
endif()

# radishrudder_add_part(<part> SOURCES <file>... [DEPENDS <target>...])
# Declares the static library of one part of the project.
function(radishrudder_add_part part)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(radishrudder_${part} STATIC ${ARG_SOURCES})
  add_library(radishrudder::${part} ALIAS radishrudder_${part})
  target_include_directories(radishrudder_${part} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/include>
    $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(radishrudder_${part}
    PUBLIC ${ARG_DEPENDS}
    PRIVATE $<BUILD_INTERFACE:radishrudder_options>)
  set_target_properties(radishrudder_${part} PROPERTIES EXPORT_NAME ${part})
  install(TARGETS radishrudder_${part} EXPORT radishrudder
    ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
endfunction()

# radishrudder_add_test(<name> [SERIAL] SOURCES <file>... DEPENDS <target>...)
# Declares one GoogleTest program and registers its cases with CTest. SERIAL:
# CTest runs no other test beside one of its cases.
function(radishrudder_add_test name)
  cmake_parse_arguments(ARG "SERIAL" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE
    radishrudder_options ${ARG_DEPENDS} GTest::gtest_main)
  gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST
    WORKING_DIRECTORY ${CMAKE_CURRENT_SOURCE_DIR}
    PROPERTIES TIMEOUT 300 RUN_SERIAL ${ARG_SERIAL})
endfunction()

# radishrudder_add_program(<name> SOURCES <file>... DEPENDS <target>...)
# Declares one program, placed in the build folder's bin/.
function(radishrudder_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE radishrudder_options ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()
