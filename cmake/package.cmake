# Shared by all packages, so that each can be configured alone or as part of the workspace.
include_guard(GLOBAL)

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo CACHE STRING "" FORCE)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")
set(RATTANBEAM_SANITIZE "" CACHE STRING "Sanitizers for the whole build, such as address,undefined")
if(RATTANBEAM_SANITIZE)
    add_compile_options(-fsanitize=${RATTANBEAM_SANITIZE} -fno-omit-frame-pointer)
    add_link_options(-fsanitize=${RATTANBEAM_SANITIZE})
endif()

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
set(RATTANBEAM_ROOT ${CMAKE_CURRENT_LIST_DIR}/..)

# Adds a package of this workspace that the current one uses.
function(rattanbeam_use package)
    get_property(added GLOBAL PROPERTY RATTANBEAM_ADDED_${package})
    if(NOT added AND NOT TARGET rattanbeam_${package})
        set_property(GLOBAL PROPERTY RATTANBEAM_ADDED_${package} TRUE)
        add_subdirectory(${RATTANBEAM_ROOT}/${package} ${CMAKE_BINARY_DIR}/${package})
    endif()
endfunction()

# Warnings for our own code; generated code does without.
function(rattanbeam_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wno-missing-field-initializers
        -Wno-maybe-uninitialized) # GCC 12 reports std::optional for it
endfunction()

# Declares the library of a package from src/ and include/.
function(rattanbeam_library package)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_library(rattanbeam_${package} STATIC ${sources})
    target_include_directories(rattanbeam_${package} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(rattanbeam_${package} PUBLIC ${ARGN} Threads::Threads)
    rattanbeam_warnings(rattanbeam_${package})
endfunction()

# Declares the tests of a package: one program from test/, run with a fixed and printed seed.
function(rattanbeam_tests package)
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/test/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(rattanbeam_${package}_test ${sources} ${RATTANBEAM_ROOT}/testsupport/catchmain.cpp)
    target_include_directories(rattanbeam_${package}_test PRIVATE ${RATTANBEAM_ROOT}/testsupport)
    target_link_libraries(rattanbeam_${package}_test PRIVATE rattanbeam_${package} ${ARGN} rapidcheck)
    rattanbeam_warnings(rattanbeam_${package}_test)
    # Passes over the test cases that KNOWN-RED.txt names for this package.
    set(exclusions)
    set(knownRed ${RATTANBEAM_ROOT}/KNOWN-RED.txt)
    if(EXISTS ${knownRed})
        set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${knownRed})
        file(STRINGS ${knownRed} entries REGEX "^pass-over ${package}: ")
        foreach(entry IN LISTS entries)
            string(REGEX REPLACE "^pass-over ${package}: " "~" exclusion "${entry}")
            list(APPEND exclusions ${exclusion})
        endforeach()
    endif()
    add_test(NAME ${package} COMMAND rattanbeam_${package}_test ${exclusions})
    set_tests_properties(${package} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300" TIMEOUT 300)
endfunction()
