// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <wire/asio.h>

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace postpaddle::wire {

/// Whether a message has no transfer coding but `chunked`: none other is asked for (RFC 9110, section 10.1.4)
/// or understood here, and the body would be taken for what it encodes.
[[nodiscard]] bool are_codings_understood(const boost::beast::http::fields& fields);

/// What the head of a message from a server is.
enum class head_kind {
    final_response, ///< Of the response, whose body follows.
    informational,  ///< Of a response before it, without a body (RFC 9110, section 15.2).
    none,           ///< Of no response; what follows it can't be read as one either.
};

/// Only status codes from 100 to 599 are valid (RFC 9110, section 15). 101 ends HTTP on the connection, which
/// no request here asks for. An informational response that announces a body is none (section 8.6, and RFC
/// 9112, section 6.1): readers differ in whether the next head is within that body or behind it.
[[nodiscard]] head_kind kind_of(const boost::beast::http::response_header<>& head);

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
