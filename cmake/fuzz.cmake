# libFuzzer targets: each fuzz/NAME_fuzz.cc is one binary. Needs clang:
#   cmake -S . -B build-fuzz -DJUJUBE_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++-14
# Only the decoders are compiled, because clang 14 can't compile the standard
# library's ranges, which the decision code uses.
option(JUJUBE_FUZZ "Build the libFuzzer targets" OFF)
if(JUJUBE_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all)
  add_link_options(-fsanitize=address,undefined)
endif()

# jujube_fuzz_replay(DEPS...): a test binary that runs each fuzz target over its
# corpus without libFuzzer. The entry point of each target is renamed after its
# file, for example httpFuzz.
function(jujube_fuzz_replay)
  file(GLOB TARGETS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/fuzz/*_fuzz.cc)
  foreach(TARGET ${TARGETS})
    get_filename_component(NAME ${TARGET} NAME_WE)
    string(REPLACE "_fuzz" "Fuzz" FUNCTION ${NAME})
    add_library(${NAME}_body OBJECT ${TARGET})
    target_compile_definitions(${NAME}_body PRIVATE LLVMFuzzerTestOneInput=${FUNCTION})
    target_link_libraries(${NAME}_body PRIVATE jujube_options ${ARGN})
    list(APPEND BODIES $<TARGET_OBJECTS:${NAME}_body>)
  endforeach()
  jujube_test(fuzz_test
    SOURCES ${CMAKE_SOURCE_DIR}/fuzz/replay_test.cc ${CMAKE_SOURCE_DIR}/fuzz/wire_seeds.cc ${BODIES}
    DEPS ${ARGN})
endfunction()

function(jujube_fuzzers)
  if(NOT JUJUBE_FUZZ)
    return()
  endif()
  set(DECODERS jujube/load/trace.cc jujube/wire/messages.cc
      jujube/wire/packed_archive.cc jujube/jobs/configuration.cc
      jujube/shares/usage_ledger.cc jujube/dispatch/servable.cc
      jujube/jobs/job_state_machine.cc jujube/jobs/job_state_configuration.cc
      jujube/jobs/job_state_snapshot.cc jujube/jobs/objective.cc
      jujube/jobs/team_succession.cc jujube/jobs/withdrawals.cc platform/json_fields.cc platform/job_calls.cc
      platform/control_calls.cc platform/worker_calls.cc)
  foreach(FOLDER base logging metrics http)
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
  add_executable(write_wire_seeds fuzz/write_wire_seeds.cc fuzz/wire_seeds.cc)
  target_link_libraries(write_wire_seeds PRIVATE jujube_decoders)
  set_target_properties(write_wire_seeds PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/fuzz)
endfunction()
