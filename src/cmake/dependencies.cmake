find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(Protobuf REQUIRED)
find_package(absl REQUIRED)
find_package(GTest REQUIRED)
find_package(rapidcheck REQUIRED)
find_package(benchmark REQUIRED)
find_package(ZLIB REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(grpcpp REQUIRED IMPORTED_TARGET grpc++)
pkg_check_modules(log4cxx REQUIRED IMPORTED_TARGET liblog4cxx)

find_program(ccache_program ccache)
if(ccache_program)
  # The sloppiness flags are what ccache needs to cache with a precompiled header.
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1
      CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
      ${ccache_program})
endif()
