// SPDX-License-Identifier: BSD-2-Clause
#include <wire/upstream_call.h>

#include <base/try.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace postpaddle::wire {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using std::chrono::steady_clock;

namespace {

/// Bytes read at once from an upstream's body.
constexpr std::size_t part_bytes = 16UL * 1024;

http::request<http::string_body> to_beast(const http_request& request) {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const http_header& header : request.headers)
        message.set(header.name, header.value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

} // namespace

struct upstream_call::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, const answer_bounds& answer_bounds)
        : stream(context), watchdog(context), bounds(answer_bounds) {}

    /// Sets the time by which the operation that now begins must end.
    ///
    /// OPTIMIZATION: A timer set and cancelled for each read costs more than the read's own work. The
    /// watchdog is set once and looks at the deadline of the moment only when it fires.
    void guard(steady_clock::time_point next) {
        this->deadline = next;
        if (this->is_guarded && this->watchdog.expiry() <= next)
            return;
        this->is_guarded = true;
        this->watchdog.expires_at(next);
        this->watchdog.async_wait([weak = this->weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            self->is_guarded = false;
            self->did_fire();
        });
    }

    void did_fire() {
        if (this->deadline == steady_clock::time_point::max())
            return;
        if (steady_clock::now() < this->deadline) {
            this->guard(this->deadline);
            return;
        }
        this->is_late = true;
        this->stream.close();
    }

    /// The operation has ended, with this error or none.
    wire_error end(const error_code& error) {
        this->deadline = steady_clock::time_point::max();
        if (this->is_cancelled)
            return {wire_failure::cancelled, "cancelled"};
        if (this->is_late)
            return {wire_failure::late, "no answer within the limit"};
        return error ? from_io(error) : wire_error{};
    }

    beast::tcp_stream stream;
    asio::steady_timer watchdog;
    steady_clock::time_point deadline = steady_clock::time_point::max();
    answer_bounds bounds;
    beast::flat_buffer input;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, part_bytes> part{};
    bool has_sent = false;
    bool is_cancelled = false;
    bool is_late = false;
    bool is_guarded = false;
    bool is_whole = false;
    bool is_keep_alive = false;
};

upstream_call::upstream_call(asio::io_context& context, const answer_bounds& bounds)
    : parts(std::make_shared<implementation>(context, bounds)) {}

upstream_call::~upstream_call() = default;

expected<void> upstream_call::connect(const tcp::endpoint& endpoint, steady_clock::time_point deadline,
                                      yield_context yield) {
    implementation& own = *this->parts;
    if (own.is_cancelled)
        return tl::make_unexpected(wire_error{wire_failure::cancelled, "cancelled before it began"});
    error_code error;
    own.guard(deadline);
    own.stream.async_connect(endpoint, yield[error]);
    const wire_error ended = own.end(error);
    if (own.is_cancelled)
        return tl::make_unexpected(ended);
    if (error)
        return tl::make_unexpected(wire_error{wire_failure::not_connected, error.message()});
    own.stream.socket().set_option(tcp::no_delay(true), error);
    return {};
}

expected<response_head> upstream_call::exchange(const http_request& request,
                                                steady_clock::time_point deadline, yield_context yield) {
    implementation& own = *this->parts;
    if (own.is_cancelled)
        return tl::make_unexpected(wire_error{wire_failure::cancelled, "cancelled before it was sent"});
    own.is_whole = false;
    own.parser.emplace();
    own.parser->header_limit(static_cast<std::uint32_t>(own.bounds.header_bytes));
    own.parser->body_limit(own.bounds.body_bytes);
    own.guard(deadline);
    const auto message = to_beast(request);
    error_code error;
    own.has_sent = true;
    http::async_write(own.stream, message, yield[error]);
    if (!error)
        http::async_read_header(own.stream, own.input, *own.parser, yield[error]);
    wire_error ended = own.end(error);
    if (error)
        return tl::make_unexpected(std::move(ended));
    response_head head;
    head.status = static_cast<int>(own.parser->get().result_int());
    for (const auto& field : own.parser->get())
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    // NOTE: An eager parser would take fewer reads, but it goes on reading until its buffer is full: tokens
    // would come late and in lumps.
    own.is_keep_alive = own.parser->get().keep_alive();
    own.is_whole = own.parser->is_done();
    return head;
}

expected<bool> upstream_call::read_part(std::string& into, steady_clock::time_point deadline,
                                        yield_context yield) {
    implementation& own = *this->parts;
    if (own.is_cancelled)
        return tl::make_unexpected(wire_error{wire_failure::cancelled, "cancelled"});
    if (own.parser->is_done()) {
        own.is_whole = true;
        return false;
    }
    own.parser->get().body().data = own.part.data();
    own.parser->get().body().size = own.part.size();
    own.guard(deadline);
    error_code error;
    http::async_read_some(own.stream, own.input, *own.parser, yield[error]);
    if (error == http::error::need_buffer)
        error = {};
    wire_error ended = own.end(error);
    if (error)
        return tl::make_unexpected(std::move(ended));
    into.append(own.part.data(), own.part.size() - own.parser->get().body().size);
    return true;
}

expected<std::string> upstream_call::read_rest(steady_clock::time_point deadline, yield_context yield) {
    std::string body;
    while (true) {
        POSTPADDLE_TRY(has_more, this->read_part(body, deadline, yield));
        if (!has_more)
            return body;
    }
}

void upstream_call::cancel() {
    implementation& own = *this->parts;
    own.is_cancelled = true;
    own.stream.close();
}

bool upstream_call::is_reusable() const {
    const implementation& own = *this->parts;
    return own.is_whole && own.is_keep_alive && !own.is_cancelled && own.input.size() == 0 &&
           own.stream.socket().is_open();
}

bool upstream_call::has_sent() const { return this->parts->has_sent; }

} // namespace postpaddle::wire
