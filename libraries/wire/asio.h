// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <base/clock.h>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include <exception>
#include <utility>

namespace postpaddle::wire {

namespace asio = boost::asio;
using asio::yield_context;
using error_code = boost::system::error_code;

/// A timer by the same clock as all deadlines.
///
/// The system wakes a process by a clock that stands still while the machine is suspended, so a timer comes
/// late by that time at most until the next one is due; then all that are due by this clock come at once.
using boot_timer = asio::basic_waitable_timer<base::boot_clock>;

/// Stack of one coroutine in bytes. Pages that are never touched cost no memory.
inline constexpr std::size_t coroutine_stack_bytes = 256UL * 1024;

/// Runs `work(yield)` as a coroutine on the context.
template <class Context, class Work> void spawn_coroutine(Context& context, Work work) {
    asio::spawn(context, std::move(work), boost::coroutines::attributes(coroutine_stack_bytes));
}

} // namespace postpaddle::wire
