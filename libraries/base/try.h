// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <tl/expected.hpp>

#include <utility>

#define POSTPADDLE_TRY_JOIN_INNER(left, right) left##right
#define POSTPADDLE_TRY_JOIN(left, right) POSTPADDLE_TRY_JOIN_INNER(left, right)

/// Declares `variable` with the value of an expected, or returns its error from the enclosing function.
#define POSTPADDLE_TRY(variable, expression)                                                                 \
    auto POSTPADDLE_TRY_JOIN(try_result_, __LINE__) = (expression);                                          \
    if (!POSTPADDLE_TRY_JOIN(try_result_, __LINE__))                                                         \
        return tl::make_unexpected(std::move(POSTPADDLE_TRY_JOIN(try_result_, __LINE__)).error());           \
    auto variable = /* NOLINT(bugprone-macro-parentheses): a declarator can't be parenthesized. */           \
        std::move(*POSTPADDLE_TRY_JOIN(try_result_, __LINE__))

/// Returns the error of an expected<void>, if any, from the enclosing function.
#define POSTPADDLE_TRY_VOID(expression)                                                                      \
    if (auto try_result = (expression); !try_result)                                                         \
    return tl::make_unexpected(std::move(try_result).error())
