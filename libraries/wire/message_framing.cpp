// SPDX-License-Identifier: BSD-2-Clause
#include <wire/message_framing.h>

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <iterator>

namespace postpaddle::wire {

namespace http = boost::beast::http;

namespace {

constexpr int first_status = 100;
constexpr int switching_protocols_status = 101;
constexpr int first_final_status = 200;
constexpr int last_status = 599;

bool announces_body(const http::fields& fields) {
    const auto length = fields.find(http::field::content_length);
    return fields.count(http::field::transfer_encoding) > 0 ||
           (length != fields.end() && length->value() != "0");
}

/// Whether the error of a send says no more than that no more may be sent: this side has ended the sending,
/// or the server had closed the connection in order before it reset it.
bool is_after_close(const error_code& send_error) {
    return !send_error || send_error == asio::error::operation_aborted ||
           send_error == asio::error::bad_descriptor || send_error == asio::error::broken_pipe;
}

} // namespace

bool are_codings_understood(const http::fields& fields) {
    const auto [first, last] = fields.equal_range(http::field::transfer_encoding);
    if (first == last)
        return true;
    const http::opt_token_list codings(first->value());
    return std::next(first) == last && http::validate_list(codings) &&
           std::distance(codings.begin(), codings.end()) == 1 &&
           boost::beast::iequals(*codings.begin(), "chunked");
}

head_kind kind_of(const http::response_header<>& head) {
    const int status = static_cast<int>(head.result_int());
    if (status < first_status || status > last_status || status == switching_protocols_status)
        return head_kind::none;
    if (status < first_final_status)
        return announces_body(head) ? head_kind::none : head_kind::informational;
    return are_codings_understood(head) ? head_kind::final_response : head_kind::none;
}

body_end end_of(const http::basic_parser<false>& parser, const error_code& send_error) {
    if (!parser.is_done())
        return body_end::none;
    if (!parser.need_eof())
        return body_end::framed;
    return is_after_close(send_error) ? body_end::closed : body_end::broken;
}

} // namespace postpaddle::wire
