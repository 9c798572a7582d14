# libFuzzer targets: each fuzz/NAME_fuzz.cc is one binary. Needs clang:
#   cmake -S . -B build-fuzz -DJUJUBE_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++-14
# Only the decoders are compiled, because that clang can't compile the ranges of
# the standard library that the decisions use.
option(JUJUBE_FUZZ "Build the libFuzzer targets" OFF)
if(JUJUBE_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all)
  add_link_options(-fsanitize=address,undefined)
endif()

function(jujube_fuzzers)
  if(NOT JUJUBE_FUZZ)
    return()
  endif()
  set(DECODERS jujube/load/trace.cc jujube/wire/messages.cc
      jujube/wire/packed_archive.cc)
  foreach(FOLDER base metrics http)
    jujube_sources(jujube/${FOLDER} SOURCES TESTS)
    list(APPEND DECODERS ${SOURCES})
  endforeach()
  add_library(jujube_decoders STATIC EXCLUDE_FROM_ALL ${DECODERS})
  target_link_libraries(jujube_decoders PUBLIC jujube_options ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/fuzz/*_fuzz.cc)
  foreach(SOURCE ${SOURCES})
    get_filename_component(NAME ${SOURCE} NAME_WE)
    add_executable(${NAME} ${SOURCE})
    target_link_libraries(${NAME} PRIVATE jujube_decoders -fsanitize=fuzzer)
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/fuzz)
  endforeach()
endfunction()
