// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include <exception>
#include <utility>

namespace postpaddle::wire {

namespace asio = boost::asio;
using asio::yield_context;
using error_code = boost::system::error_code;

/// Stack of one coroutine in bytes. Pages that are never touched cost no memory.
inline constexpr std::size_t coroutine_stack_bytes = 256UL * 1024;

/// Runs `work(yield)` as a coroutine on the context.
template <class Context, class Work> void spawn_coroutine(Context& context, Work work) {
    asio::spawn(context, std::move(work), boost::coroutines::attributes(coroutine_stack_bytes));
}

} // namespace postpaddle::wire
