// SPDX-License-Identifier: BSD-2-Clause
#include <wire/message_framing.h>

#include <boost/asio/error.hpp>

namespace postpaddle::wire {

namespace http = boost::beast::http;

namespace {

/// Whether the error of a send says no more than that no more may be sent: this side has ended the sending,
/// or the server had closed the connection in order before it reset it.
bool is_after_close(const error_code& send_error) {
    return !send_error || send_error == asio::error::operation_aborted ||
           send_error == asio::error::bad_descriptor || send_error == asio::error::broken_pipe;
}

} // namespace

body_end end_of(const http::basic_parser<false>& parser, const error_code& send_error) {
    if (!parser.is_done())
        return body_end::none;
    if (!parser.need_eof())
        return body_end::framed;
    return is_after_close(send_error) ? body_end::closed : body_end::broken;
}

} // namespace postpaddle::wire
