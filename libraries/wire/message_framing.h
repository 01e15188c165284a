// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>

#include <boost/beast/http/basic_parser.hpp>

namespace postpaddle::wire {

/// How the body of a response has ended.
enum class body_end {
    none,   ///< It hasn't.
    framed, ///< By its own framing: its length, its last chunk, or a status without a body.
    closed, ///< It has no length, and the server has closed the connection in order behind it.
    broken, ///< It has no length, and its connection has broken, so that the rest of it may be missing.
};

/// `parser` has read up to the end of the input or of the body, without an error. `send_error` is what ended
/// the sending of the request, if it has ended.
///
/// The system reports that a connection broke to a single operation. If that is the sending of the request,
/// reads see the end of the input, as after a close in order.
[[nodiscard]] body_end end_of(const boost::beast::http::basic_parser<false>& parser,
                              const error_code& send_error);

} // namespace postpaddle::wire
