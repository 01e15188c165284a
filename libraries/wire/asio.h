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

/// Timer that uses the same clock as all deadlines.
///
/// The operating system wakes processes by a clock that stops during suspend. After a resume, timers that
/// have expired by the boot clock therefore fire only with the next wakeup, all at once.
using boot_timer = asio::basic_waitable_timer<base::boot_clock>;

/// Stack size of a coroutine. Pages that are never touched use no memory.
inline constexpr std::size_t coroutine_stack_bytes = 256UL * 1024;

/// Runs `work(yield)` as a stackful coroutine on the context.
template <class Context, class Work> void spawn_coroutine(Context& context, Work work) {
    asio::spawn(context, std::move(work), boost::coroutines::attributes(coroutine_stack_bytes));
}

} // namespace postpaddle::wire
