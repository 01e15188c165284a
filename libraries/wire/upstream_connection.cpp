// SPDX-License-Identifier: BSD-2-Clause
#include <wire/upstream_connection.h>

#include <wire/bounded_response.h>
#include <wire/framing_limit.h>
#include <wire/message_framing.h>

#include <base/try.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <cstdlib>
#include <optional>

namespace postpaddle::wire {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using base::boot_clock;

namespace {

using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Value of `TCP_USER_TIMEOUT`: the kernel closes a connection whose data is not acknowledged for this long.
constexpr int tcp_user_timeout_ms = 2'000;

constexpr std::size_t read_buffer_bytes = 16UL * 1024;

/// Informational responses skipped before a response.
constexpr int max_informational_responses = 8;
/// Shortest time by which a deadline is extended.
constexpr auto min_extension = std::chrono::milliseconds(1);

/// Assumed for servers that don't send `Keep-Alive: timeout`.
constexpr std::chrono::milliseconds default_keep_alive_timeout{4'000};

/// Parses the timeout of a `Keep-Alive` field, such as `timeout=5` (in seconds).
std::chrono::milliseconds parse_keep_alive_timeout(const std::string& field) {
    static constexpr std::string_view timeout = "timeout=";
    const auto position = field.find(timeout);
    if (position == std::string::npos)
        return default_keep_alive_timeout;
    return std::chrono::seconds(std::atoi(field.c_str() + position + timeout.size()));
}

http::request<http::string_body> to_beast(const http_request& request) {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const http_header& header : request.headers)
        message.insert(header.name, header.value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

} // namespace

struct upstream_connection::implementation : std::enable_shared_from_this<implementation> {
    implementation(asio::io_context& context, const response_bounds& response_bounds)
        : stream(context), watchdog(context), send_ended(context, boot_clock::time_point::max()),
          bounds(response_bounds),
          // A chunk's extensions and the trailer fields are parsed as a whole, as the head is.
          input(response_bounds.header_bytes + read_buffer_bytes) {}

    /// Sets the deadline of the operation that is about to start.
    ///
    /// OPTIMIZATION: Setting and cancelling a timer for each read costs more than the read itself. The
    /// watchdog timer keeps running instead and checks the current deadline when it fires.
    void set_deadline(boot_clock::time_point new_deadline) {
        this->deadline = new_deadline;
        if (this->is_watchdog_armed && this->watchdog.expiry() <= new_deadline)
            return;
        this->is_watchdog_armed = true;
        this->watchdog.expires_at(new_deadline);
        this->watchdog.async_wait([weak = this->weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            self->is_watchdog_armed = false;
            self->did_watchdog_fire();
        });
    }

    void did_watchdog_fire() {
        if (this->deadline == boot_clock::time_point::max())
            return;
        if (boot_clock::now() < this->deadline) {
            this->set_deadline(this->deadline);
            return;
        }
        if (const auto later = this->try_extend()) {
            this->set_deadline(*later);
            return;
        }
        this->did_time_out = true;
        this->stream.close();
    }

    std::optional<boot_clock::time_point> try_extend() const {
        if (!this->has_sent || !this->extension)
            return std::nullopt;
        const auto later = this->extension();
        if (!later)
            return std::nullopt;
        // Time has passed since the extension read the clock.
        return std::max(*later, boot_clock::now() + min_extension);
    }

    /// Clears the deadline and returns the operation's error, if any.
    wire_error finish_operation(const error_code& error) {
        this->deadline = boot_clock::time_point::max();
        if (this->is_cancelled)
            return {wire_failure::cancelled, "cancelled"};
        if (this->is_given_up)
            return no_room();
        if (this->did_time_out)
            return {wire_failure::late, "no whole answer within the limit", this->framing.body_bytes};
        return error ? to_wire_error(error) : wire_error{};
    }

    static wire_error no_room() { return {wire_failure::no_room, "no memory for the whole answer"}; }

    /// Closes the connection in the midst of a body for which there is no room.
    void give_up() {
        this->is_given_up = true;
        this->stream.close();
    }

    /// Fails with this error. A connection on which the server violates the protocol is closed, as it would
    /// go on.
    tl::unexpected<wire_error> fail(wire_error failure) {
        if (is_protocol_violation(failure.failure))
            this->stream.close();
        return tl::unexpected<wire_error>(std::move(failure));
    }

    /// Sends the request while the response is already being read, as an upstream may respond before it has
    /// read a long body. A connection whose request was not sent completely is not reused.
    void start_write(const http_request& request) {
        this->send_result.reset();
        this->sending = std::make_unique<http::request<http::string_body>>(to_beast(request));
        http::async_write(this->stream, *this->sending,
                          [self = this->shared_from_this()](const error_code& error, std::size_t) {
                              self->send_result = error;
                              self->send_ended.cancel();
                          });
    }

    [[nodiscard]] bool is_request_written() const { return this->send_result == error_code(); }

    /// Ends the sending of the request if it goes on, and with it the connection. Returns how it ended.
    error_code end_send(yield_context yield) {
        // An error that was reported to the send may be known only to its handler, which hasn't run yet.
        while (!this->send_result) {
            this->stream.close();
            error_code ignored;
            this->send_ended.async_wait(yield[ignored]);
        }
        return *this->send_result;
    }

    /// Fails if the body, which has ended, isn't whole.
    expected<void> check_end(yield_context yield) {
        // Only after a close, as far as reads tell, does it matter how the send ended.
        if (end_of(*this->parser, {}) != body_end::closed)
            return {};
        const error_code send_error = this->end_send(yield);
        if (this->is_cancelled)
            return tl::unexpected<wire_error>({wire_failure::cancelled, "cancelled"});
        if (end_of(*this->parser, send_error) == body_end::broken)
            return this->fail({wire_failure::broken, "body without a length: " + send_error.message()});
        return {};
    }

    /// Reads the head of the response behind informational ones (RFC 9110, section 15.2).
    expected<response_head> read_head(yield_context yield) {
        error_code error;
        int informational_responses = 0;
        head_kind kind = head_kind::informational;
        this->framing = {};
        while (!error && kind == head_kind::informational) {
            if (informational_responses++ > max_informational_responses) {
                error = http::error::bad_status;
                break;
            }
            this->parser.emplace();
            this->parser->header_limit(static_cast<std::uint32_t>(this->bounds.header_bytes));
            this->parser->body_limit(this->bounds.body_bytes);
            http::async_read_header(this->stream, this->input, *this->parser, yield[error]);
            if (!error)
                kind = kind_of(this->parser->get());
        }
        wire_error failure = this->finish_operation(error);
        if (error)
            return this->fail(std::move(failure));
        if (kind == head_kind::none)
            return this->fail({wire_failure::malformed, "head of no response"});
        return this->take_head();
    }

    response_head take_head() {
        response_head head;
        head.status = static_cast<int>(this->parser->get().result_int());
        for (const auto& field : this->parser->get())
            head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        // NOTE: An eager parser would need fewer reads, but it reads until its buffer is full, which would
        // delay tokens.
        // False as well for an answer that ends with its connection.
        this->is_keep_alive = this->parser->keep_alive();
        this->is_response_complete = this->parser->is_done();
        this->keep_alive_timeout =
            parse_keep_alive_timeout(std::string(this->parser->get()[http::field::keep_alive]));
        return head;
    }

    beast::tcp_stream stream;
    boot_timer watchdog;
    std::unique_ptr<http::request<http::string_body>> sending;
    std::optional<error_code> send_result; ///< Of the request; empty while it is being sent.
    boot_timer send_ended;                 ///< Is cancelled when that is known.
    std::optional<asio::ip::address> local_address;
    std::chrono::milliseconds keep_alive_timeout = default_keep_alive_timeout;
    boot_clock::time_point deadline = boot_clock::time_point::max();
    deadline_extension extension;
    response_bounds bounds;
    beast::flat_buffer input;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, read_buffer_bytes> read_buffer{};
    framing_limit framing; ///< Of the response.
    carried_requests carried;
    bool has_sent = false;
    bool is_cancelled = false;
    bool is_given_up = false; ///< There was no room for its answer.
    std::string peer;         ///< Address of the server.
    bool did_time_out = false;
    bool is_watchdog_armed = false;
    bool is_response_complete = false;
    bool is_keep_alive = false;
};

upstream_connection::upstream_connection(asio::io_context& context, const response_bounds& bounds)
    : impl(std::make_shared<implementation>(context, bounds)) {}

upstream_connection::~upstream_connection() = default;

void upstream_connection::set_local_address(const asio::ip::address& address) {
    this->impl->local_address = address;
}

expected<void> upstream_connection::connect(const tcp::endpoint& endpoint, boot_clock::time_point deadline,
                                            yield_context yield) {
    implementation& self = *this->impl;
    if (self.is_cancelled)
        return tl::make_unexpected(wire_error{wire_failure::cancelled, "cancelled before it began"});
    self.peer = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    error_code error;
    if (self.local_address) {
        self.stream.socket().open(endpoint.protocol(), error);
        self.stream.socket().bind({*self.local_address, 0}, error);
    }
    self.set_deadline(deadline);
    self.stream.async_connect(endpoint, yield[error]);
    const wire_error failure = self.finish_operation(error);
    if (self.is_cancelled)
        return tl::make_unexpected(failure);
    if (error) {
        const bool is_refused = error == asio::error::connection_refused;
        return tl::make_unexpected(wire_error{
            is_refused ? wire_failure::not_listening : wire_failure::not_connected, error.message()});
    }
    self.stream.socket().set_option(tcp::no_delay(true), error);
    self.stream.socket().set_option(user_timeout(tcp_user_timeout_ms), error);
    return {};
}

expected<response_head> upstream_connection::exchange(const http_request& request,
                                                      std::string_view request_id,
                                                      boot_clock::time_point deadline, yield_context yield) {
    implementation& self = *this->impl;
    if (self.is_cancelled)
        return tl::make_unexpected(wire_error{wire_failure::cancelled, "cancelled before it was sent"});
    self.is_response_complete = false;
    self.set_deadline(deadline);
    self.has_sent = true;
    self.carried.add(request_id);
    self.start_write(request);
    return self.read_head(yield);
}

expected<response_head> upstream_connection::read_next_head(boot_clock::time_point deadline,
                                                            yield_context yield) {
    this->impl->set_deadline(deadline);
    return this->impl->read_head(yield);
}

expected<bool> upstream_connection::read_part(std::string& into, boot_clock::time_point deadline,
                                              yield_context yield) {
    implementation& self = *this->impl;
    if (self.is_cancelled)
        return tl::make_unexpected(wire_error{wire_failure::cancelled, "cancelled"});
    if (self.parser->is_done()) {
        POSTPADDLE_TRY_VOID(self.check_end(yield));
        self.is_response_complete = true;
        return false;
    }
    self.parser->get().body().data = self.read_buffer.data();
    self.parser->get().body().size = self.read_buffer.size();
    self.set_deadline(deadline);
    error_code error;
    const std::size_t parsed = http::async_read_some(self.stream, self.input, *self.parser, yield[error]);
    if (error == http::error::need_buffer)
        error = {};
    wire_error failure = self.finish_operation(error);
    if (error)
        return self.fail(std::move(failure));
    const std::size_t received = self.read_buffer.size() - self.parser->get().body().size;
    into.append(self.read_buffer.data(), received);
    self.framing.body_bytes += received;
    self.framing.framing_bytes += parsed - received;
    if (self.framing.is_exceeded())
        return self.fail({wire_failure::too_large, "framing of the body exceeds the size limit"});
    return true;
}

expected<std::string> upstream_connection::read_remaining_body(boot_clock::time_point deadline,
                                                               yield_context yield) {
    std::string body;
    const collected_body held = this->begin_collecting();
    while (true) {
        POSTPADDLE_TRY(has_more, this->read_part(body, deadline, yield));
        if (!has_more)
            return body;
        POSTPADDLE_TRY_VOID(this->collect(held, body.capacity()));
    }
}

collected_body upstream_connection::begin_collecting() {
    collected_data* const collected = this->impl->bounds.collected;
    if (collected == nullptr)
        return nullptr;
    return std::make_shared<collected_data::scoped_message>(*collected, this->impl->peer,
                                                            [weak = std::weak_ptr(this->impl)] {
                                                                if (const auto self = weak.lock())
                                                                    self->give_up();
                                                            });
}

expected<void> upstream_connection::collect(const collected_body& body, std::size_t bytes) {
    if (!body || body->try_hold(bytes))
        return {};
    this->impl->give_up();
    return tl::unexpected<wire_error>(implementation::no_room());
}

expected<std::string> upstream_connection::read_remaining_body_unless_stalled(
    std::chrono::milliseconds stall_timeout, const std::function<void()>& on_part, yield_context yield) {
    std::string body;
    const collected_body held = this->begin_collecting();
    while (true) {
        POSTPADDLE_TRY(has_more, this->read_part(body, boot_clock::now() + stall_timeout, yield));
        if (!has_more)
            return body;
        POSTPADDLE_TRY_VOID(this->collect(held, body.capacity()));
        on_part();
    }
}

void upstream_connection::set_deadline_extension(deadline_extension extension) {
    this->impl->extension = std::move(extension);
}

void upstream_connection::cancel() {
    implementation& self = *this->impl;
    self.is_cancelled = true;
    self.stream.close();
}

bool upstream_connection::is_reusable() const {
    const implementation& self = *this->impl;
    return self.is_response_complete && !self.is_given_up && self.is_keep_alive &&
           self.is_request_written() && !self.is_cancelled && !self.carried.is_full() &&
           self.input.size() == 0 && self.stream.socket().is_open();
}

std::chrono::milliseconds upstream_connection::keep_alive_timeout() const {
    return this->impl->keep_alive_timeout;
}

bool upstream_connection::is_stale() {
    implementation& self = *this->impl;
    char byte = 0;
    error_code error;
    self.stream.socket().non_blocking(true, error);
    self.stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

bool upstream_connection::has_sent() const { return this->impl->has_sent; }

const carried_requests& upstream_connection::carried() const { return this->impl->carried; }

} // namespace postpaddle::wire
