// SPDX-License-Identifier: BSD-2-Clause
#define CATCH_CONFIG_MAIN // NOLINT(cppcoreguidelines-macro-usage): how Catch2 is told to bring main.
#include <catch2/catch.hpp>
