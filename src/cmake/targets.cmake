# Flags that every target shares; the precompiled header needs them alike.
add_library(tack_options INTERFACE)
target_compile_features(tack_options INTERFACE cxx_std_20)
target_compile_options(tack_options INTERFACE
  -Wall -Wextra -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers -Wno-maybe-uninitialized -Wno-mismatched-new-delete -Wno-array-bounds -Wno-restrict -Wno-stringop-overflow -fpch-preprocess -fdiagnostics-color=auto)
target_include_directories(tack_options INTERFACE ${CMAKE_SOURCE_DIR}/src/include)

# Networking libraries, and the precompiled header for the targets that use them.
add_library(tack_network INTERFACE)
target_link_libraries(tack_network INTERFACE
  tack_options Boost::headers PkgConfig::grpcpp protobuf::libprotobuf
  absl::flags absl::flags_parse absl::flags_usage absl::strings
  PkgConfig::log4cxx Threads::Threads ZLIB::ZLIB)
target_include_directories(tack_network INTERFACE ${CMAKE_SOURCE_DIR}/src/generated)
target_compile_definitions(tack_network INTERFACE
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION
  BOOST_ASIO_NO_DEPRECATED TACK_VERSION="${PROJECT_VERSION}")

add_library(tack_pch OBJECT ${CMAKE_SOURCE_DIR}/src/libutil/boost_sources.cpp)
target_link_libraries(tack_pch PUBLIC tack_network)
target_precompile_headers(tack_pch PRIVATE ${CMAKE_SOURCE_DIR}/src/libutil/pch.hpp)

# tack_library(NAME [NETWORK] DEPENDS ...): a library of all sources in the
# current folder, a test program of its *_test.cpp and one of its *_bench.cpp.
function(tack_library name)
  cmake_parse_arguments(arg "NETWORK" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  list(FILTER sources EXCLUDE REGEX "_(test|bench)\\.cpp$|boost_sources\\.cpp$")
  add_library(${name} STATIC ${sources})
  target_link_libraries(${name} PUBLIC tack_options ${arg_DEPENDS})
  if(arg_NETWORK)
    target_link_libraries(${name} PUBLIC tack_network)
    target_precompile_headers(${name} REUSE_FROM tack_pch)
  endif()
  tack_tests(${name} "${arg_NETWORK}")
endfunction()

function(tack_tests name network)
  file(GLOB tests CONFIGURE_DEPENDS *_test.cpp)
  if(tests)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE ${name} GTest::gtest_main rapidcheck)
    if(network)
      target_precompile_headers(${name}_test REUSE_FROM tack_pch)
    endif()
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()
  file(GLOB benches CONFIGURE_DEPENDS *_bench.cpp)
  if(benches)
    add_executable(${name}_bench ${benches})
    target_link_libraries(${name}_bench PRIVATE ${name} benchmark::benchmark_main)
    if(network)
      target_precompile_headers(${name}_bench REUSE_FROM tack_pch)
    endif()
    set_property(GLOBAL APPEND PROPERTY tack_benches ${name}_bench)
  endif()
endfunction()

# tack_program(NAME DEPENDS ...): a program of all sources in the current folder.
function(tack_program name)
  cmake_parse_arguments(arg "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${arg_DEPENDS} tack_network)
  target_precompile_headers(${name} REUSE_FROM tack_pch)
endfunction()
