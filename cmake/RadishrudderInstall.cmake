# Installs the headers and the package files. The parts and programs add
# themselves in radishrudder_add_part and radishrudder_add_program.
include(CMakePackageConfigHelpers)

set(radishrudder_package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/radishrudder)

install(DIRECTORY ${PROJECT_SOURCE_DIR}/include/radishrudder
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
install(EXPORT radishrudder
  FILE radishrudder-targets.cmake
  NAMESPACE radishrudder::
  DESTINATION ${radishrudder_package_dir})
configure_package_config_file(
  ${PROJECT_SOURCE_DIR}/cmake/radishrudder-config.cmake.in
  ${PROJECT_BINARY_DIR}/radishrudder-config.cmake
  INSTALL_DESTINATION ${radishrudder_package_dir})
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/radishrudder-config-version.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES
  ${PROJECT_BINARY_DIR}/radishrudder-config.cmake
  ${PROJECT_BINARY_DIR}/radishrudder-config-version.cmake
  DESTINATION ${radishrudder_package_dir})
