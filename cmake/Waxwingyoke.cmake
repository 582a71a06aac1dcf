# Helpers that keep each library's own CMakeLists to a few lines.

# waxwingyoke_library(NAME SOURCES ... [DEPENDS ...] [PRIVATE_DEPENDS ...])
# A static library with its public headers in include/NAME.
function(waxwingyoke_library NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
  add_library(${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(${NAME} PUBLIC include PRIVATE src)
  target_link_libraries(${NAME} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS}
                                       waxwingyoke_warnings)
endfunction()

# waxwingyoke_test(NAME SOURCES ... DEPENDS ... [ARGUMENTS ...])
# One doctest program, known to ctest by its name.
function(waxwingyoke_test NAME)
  if(WAXWINGYOKE_DEPLOY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;ARGUMENTS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES} $<TARGET_OBJECTS:doctest_main>)
  target_include_directories(${NAME} PRIVATE src)
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} waxwingyoke_warnings)
  add_test(NAME ${NAME} COMMAND ${NAME} ${ARG_ARGUMENTS})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()

# waxwingyoke_program(NAME SOURCES ... DEPENDS ...)
# A command-line program, built into bin/.
function(waxwingyoke_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} waxwingyoke_warnings)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
