# Functions that every part of the workspace uses, and the third-party libraries under one target each.

# A signal in the time that the dynamic linker takes before main() ends the process. Libraries that the packages have as
# archives or headers are therefore not loaded at the start; prometheus-cpp is packaged as a shared library only and
# brings the shared C++ library with it. See docs/incidents/start-given-up.md.
set(OPENSSL_USE_STATIC_LIBS TRUE)
set(ZLIB_USE_STATIC_LIBS TRUE)
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(fmt REQUIRED)
find_package(spdlog REQUIRED)
find_package(prometheus-cpp REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(ZLIB REQUIRED)
pkg_check_modules(THRIFT REQUIRED thrift)
find_library(THRIFT_ARCHIVE NAMES libthrift.a HINTS ${THRIFT_LIBRARY_DIRS} ${THRIFT_LIBDIR} REQUIRED)

add_library(parsleyshift_thrift INTERFACE)
target_include_directories(parsleyshift_thrift SYSTEM INTERFACE ${THRIFT_INCLUDE_DIRS})
target_link_libraries(parsleyshift_thrift INTERFACE ${THRIFT_ARCHIVE} Threads::Threads)

add_library(parsleyshift_spdlog INTERFACE)
target_compile_definitions(parsleyshift_spdlog INTERFACE SPDLOG_FMT_EXTERNAL)
target_include_directories(parsleyshift_spdlog SYSTEM INTERFACE
    $<TARGET_PROPERTY:spdlog::spdlog_header_only,INTERFACE_INCLUDE_DIRECTORIES>)
target_link_libraries(parsleyshift_spdlog INTERFACE fmt::fmt-header-only Threads::Threads)

if(PARSLEYSHIFT_TESTS)
    pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
    # The variant that reports errors by C++ exceptions, so that destructors run.
    pkg_check_modules(LUA REQUIRED IMPORTED_TARGET lua5.4-c++)
    find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

add_library(parsleyshift_warnings INTERFACE)
target_compile_options(parsleyshift_warnings INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion -Werror)

# parsleyshift_library(name dependency...) builds libs/<name> from src/ and its tests from tests/.
# A dependency is the name of another library of the workspace or any CMake target.
function(parsleyshift_library name)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cpp)
    set(target parsleyshift_${name})
    if(sources)
        add_library(${target} STATIC ${sources})
        set(scope PUBLIC)
        target_link_libraries(${target} PRIVATE parsleyshift_warnings)
        # Headers of Beast and Thrift compare with 0 where a null pointer is meant.
        if(NOT name MATCHES "^(client|runtime|wire)$")
            target_compile_options(${target} PRIVATE -Wzero-as-null-pointer-constant)
        endif()
    else()
        add_library(${target} INTERFACE)
        set(scope INTERFACE)
    endif()
    target_include_directories(${target} ${scope} include)
    parsleyshift_link(${target} ${scope} ${ARGN})
    file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cpp)
    if(tests)
        parsleyshift_test(${name} ${tests})
        if(PARSLEYSHIFT_TESTS)
            target_link_libraries(parsleyshift_${name}_tests PRIVATE ${target})
        endif()
    endif()
endfunction()

# parsleyshift_test(name source...) builds one CppUTest program and registers it with ctest.
function(parsleyshift_test name)
    if(NOT PARSLEYSHIFT_TESTS)
        return()
    endif()
    set(target parsleyshift_${name}_tests)
    add_executable(${target} ${ARGN})
    target_link_libraries(${target} PRIVATE parsleyshift_warnings parsleyshift_test_support)
    add_test(NAME ${name} COMMAND ${target})
endfunction()

# parsleyshift_program(name dependency...) builds one program from the .cpp files of the current folder.
function(parsleyshift_program name)
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE parsleyshift_warnings)
    parsleyshift_link(${name} PRIVATE ${ARGN})
endfunction()

function(parsleyshift_link target scope)
    foreach(dependency ${ARGN})
        if(EXISTS ${PROJECT_SOURCE_DIR}/libs/${dependency}/CMakeLists.txt)
            target_link_libraries(${target} ${scope} parsleyshift_${dependency})
        else()
            target_link_libraries(${target} ${scope} ${dependency})
        endif()
    endforeach()
endfunction()
