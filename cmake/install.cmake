# Installs the binary, the library with its headers, the CMake package and the pkg-config file.
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(package_directory ${CMAKE_INSTALL_LIBDIR}/cmake/savoryscale)
set_target_properties(libsavoryscale PROPERTIES EXPORT_NAME savoryscale)

install(TARGETS savoryscale RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
install(TARGETS libsavoryscale EXPORT savoryscale-targets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(
    DIRECTORY src/
    DESTINATION include/savoryscale
    FILES_MATCHING
    PATTERN "*.hpp"
    PATTERN "*.pb.h")
install(
    EXPORT savoryscale-targets
    NAMESPACE savoryscale::
    DESTINATION ${package_directory})

configure_package_config_file(cmake/savoryscale-config.cmake.in ${CMAKE_BINARY_DIR}/savoryscale-config.cmake
                              INSTALL_DESTINATION ${package_directory})
write_basic_package_version_file(${CMAKE_BINARY_DIR}/savoryscale-config-version.cmake COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/savoryscale-config.cmake ${CMAKE_BINARY_DIR}/savoryscale-config-version.cmake
        DESTINATION ${package_directory})

# The pkg-config file names its prefix from where it stands, so that the installation can be moved.
file(RELATIVE_PATH prefix_from_pkgconfig /${CMAKE_INSTALL_LIBDIR}/pkgconfig /)
configure_file(cmake/savoryscale.pc.in ${CMAKE_BINARY_DIR}/savoryscale.pc @ONLY)
install(FILES ${CMAKE_BINARY_DIR}/savoryscale.pc DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
