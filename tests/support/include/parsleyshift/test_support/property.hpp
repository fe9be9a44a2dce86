#pragma once

// CppUTest defines macros that break standard headers included after it, so rapidcheck comes first.
#include <rapidcheck.h> // rc::check

#include "CppUTest/TestHarness.h" // CHECK_TRUE_TEXT

#include <string> // string

namespace parsleyshift::test_support
{

/// @brief Checks a rapidcheck property inside a CppUTest test; the counterexample goes to standard error.
/// @param description what the property promises
/// @param testable a callable that rapidcheck can run
template <class Testable>
void check_property(const std::string& description, Testable&& testable)
{
    const bool holds = rc::check(description, std::forward<Testable>(testable));
    CHECK_TRUE_TEXT(holds, description.c_str());
}

} // namespace parsleyshift::test_support
