// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <tl/expected.hpp>

#include <utility>

#define POSTPADDLE_TRY_JOIN_INNER(left, right) left##right
#define POSTPADDLE_TRY_JOIN(left, right) POSTPADDLE_TRY_JOIN_INNER(left, right)

/// Declares `variable` from an expected, or returns its error to the caller at once.
#define POSTPADDLE_TRY(variable, expression)                                                                 \
    auto POSTPADDLE_TRY_JOIN(try_result_, __LINE__) = (expression);                                          \
    if (!POSTPADDLE_TRY_JOIN(try_result_, __LINE__))                                                         \
        return tl::make_unexpected(std::move(POSTPADDLE_TRY_JOIN(try_result_, __LINE__)).error());           \
    auto variable = /* NOLINT(bugprone-macro-parentheses): a declared name can't stand in any. */            \
        std::move(*POSTPADDLE_TRY_JOIN(try_result_, __LINE__))

/// Passes the error of an expected<void> up at once.
#define POSTPADDLE_TRY_VOID(expression)                                                                      \
    if (auto try_result = (expression); !try_result)                                                         \
    return tl::make_unexpected(std::move(try_result).error())
