// SPDX-License-Identifier: BSD-2-Clause
#include <wire/wire_error.h>

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

namespace postpaddle::wire {

const char* to_text(wire_failure failure) {
    switch (failure) {
    case wire_failure::bad_address:
        return "bad_address";
    case wire_failure::not_connected:
        return "not_connected";
    case wire_failure::withheld:
        return "withheld";
    case wire_failure::unsendable:
        return "unsendable";
    case wire_failure::not_listening:
        return "not_listening";
    case wire_failure::broken:
        return "broken";
    case wire_failure::late:
        return "late";
    case wire_failure::malformed:
        return "malformed";
    case wire_failure::too_large:
        return "too_large";
    case wire_failure::head_too_large:
        return "head_too_large";
    case wire_failure::no_room:
        return "no_room";
    case wire_failure::refused:
        return "refused";
    case wire_failure::cancelled:
        return "cancelled";
    case wire_failure::closed:
        return "closed";
    }
    return "unknown";
}

bool is_before_send(wire_failure failure) {
    return failure == wire_failure::bad_address || failure == wire_failure::not_connected ||
           failure == wire_failure::not_listening || failure == wire_failure::withheld ||
           failure == wire_failure::unsendable;
}

wire_error to_wire_error(const boost::system::error_code& error) {
    namespace http = boost::beast::http;
    if (error == boost::beast::error::timeout)
        return {wire_failure::late, error.message()};
    if (error == boost::asio::error::operation_aborted)
        return {wire_failure::cancelled, error.message()};
    if (error == http::error::end_of_stream)
        return {wire_failure::closed, error.message()};
    if (error == http::error::header_limit)
        return {wire_failure::head_too_large, error.message()};
    if (error == http::error::body_limit || error == http::error::buffer_overflow)
        return {wire_failure::too_large, error.message()};
    if (error == http::error::partial_message)
        return {wire_failure::broken, error.message()};
    if (error.category() == http::make_error_code(http::error::bad_method).category())
        return {wire_failure::malformed, error.message()};
    return {wire_failure::broken, error.message()};
}

} // namespace postpaddle::wire
