// SPDX-License-Identifier: BSD-2-Clause
#include <wire/caller_connection.h>

#include <wire/framing_limit.h>
#include <wire/message_framing.h>

#include <base/try.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace postpaddle::wire {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

namespace {

/// Limits the kernel's send buffer, so that `unsent_bytes` bounds how far a slow reader can fall behind.
constexpr int send_buffer_bytes = 128 * 1024;
/// Largest buffer that a connection keeps for its next data. A connection has two, so that 1,500 idle
/// connections keep at most 12 MB. A slow reader's buffer may be much larger.
constexpr std::size_t max_idle_buffer = 4UL * 1024;

/// Size of the buffer for input.
constexpr std::size_t input_bytes = 4UL * 1024;

using request_parser = http::request_parser<http::string_body>;
using request_message = http::request<http::string_body>;
/// Until when to wait for input. Asked again when that time has come.
using input_deadline = std::function<base::time_point()>;

constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
/// How long to keep reading after the last response on a connection.
constexpr auto linger_timeout = std::chrono::milliseconds(1'000);

/// Whether the request's length is unambiguous, to prevent request smuggling.
///
/// RFC 9112, section 6.3: "If a message is received with both a Transfer-Encoding and a Content-Length
/// header field [...] ought to be handled as an error". Unknown transfer codings and repeated
/// `Content-Length` or `Host` fields are rejected too.
bool is_framing_sound(const http::request<http::string_body>& message) {
    const auto codings = message.count(http::field::transfer_encoding);
    const auto lengths = message.count(http::field::content_length);
    if (lengths > 1 || (codings > 0 && lengths > 0))
        return false;
    return are_codings_understood(message) && message.count(http::field::host) <= 1;
}

/// What a whole request within the limits takes in all its forms: as read, parsed and copied to be sent.
std::uint64_t whole_request_bytes(std::size_t header_bytes, std::size_t body_bytes) {
    static constexpr std::uint64_t head_forms = 3;
    static constexpr std::uint64_t body_forms = 2;
    return head_forms * header_bytes + body_forms * body_bytes + 2 * input_bytes;
}

/// The request as far as its head says. Trailer fields are not part of it (RFC 9110, section 6.5.1).
http_request copy_head(const request_message& message) {
    http_request request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    return request;
}

/// Makes room for more of a body whose length is not known. Its buffer doubles, but not beyond the limit.
void reserve_body(std::string& body, std::size_t more, std::size_t limit) {
    const std::size_t needed = body.size() + more;
    if (needed <= body.capacity())
        return;
    // NOTE: reserve() of the string itself would double its buffer, whatever it is asked for.
    std::string larger;
    larger.reserve(std::min(std::max(needed, 2 * body.capacity()), limit));
    larger.append(body);
    body.swap(larger);
}

/// Assigning an empty string would keep the buffer for later use: libstdc++ copies short strings.
void free_buffer(std::string& buffer) { std::string().swap(buffer); }

void append_chunk(std::string& buffer, std::string_view part) {
    static constexpr int hexadecimal = 16;
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), part.size(), hexadecimal).ptr;
    buffer.append(size.data(), end);
    buffer.append("\r\n").append(part).append("\r\n");
}

std::string format_head(const response_head& head, std::string_view framing, bool is_keep_alive) {
    const auto reason = http::obsolete_reason(static_cast<http::status>(head.status));
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    // What is no field would end the head, or begin fields that nobody meant to send.
    for (const http_header& header : head.headers)
        if (is_field(header))
            text.append(header.name).append(": ").append(header.value).append("\r\n");
    text.append(framing).append("\r\n");
    if (!is_keep_alive)
        text.append("Connection: close\r\n");
    return text.append("\r\n");
}

} // namespace

bounds_source fixed_bounds(const connection_bounds& bounds) {
    return [bounds] { return bounds; };
}

struct caller_connection::implementation : std::enable_shared_from_this<implementation> {
    implementation(tcp::socket socket, bounds_source connection_bounds, connection_intake connection_intake)
        : stream(std::move(socket)), bounds(std::move(connection_bounds)),
          intake(std::move(connection_intake)), source(this->remote_address()),
          all_written(this->stream.get_executor()), input_arrived(this->stream.get_executor()),
          write_watchdog(this->stream.get_executor()), turn(this->stream.get_executor()) {
        error_code ignored;
        this->stream.socket().non_blocking(true, ignored);
        this->stream.socket().set_option(tcp::no_delay(true), ignored);
        this->stream.socket().set_option(asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);
        this->all_written.expires_at(boot_timer::time_point::max());
        this->turn.expires_at(boot_timer::time_point::max());
    }

    /// Begins to account for what is held for requests. Needs a shared pointer to this object.
    void open_account() {
        if (this->intake.account)
            this->held.emplace(*this->intake.account, this->source, [this] { this->give_up(); });
    }

    /// Ends the reading of a request for which there is no room.
    void give_up() {
        this->is_given_up = true;
        this->input_arrived.cancel();
        this->turn.cancel();
    }

    /// Records why the connection ends, unless that is known already.
    void record_end(connection_end cause) {
        if (this->end == connection_end::none)
            this->end = cause;
    }

    void did_disconnect(connection_end cause) {
        if (this->is_closed)
            return;
        this->record_end(cause);
        this->is_closed = true;
        this->is_keep_alive = false;
        this->drop_unsent();
        error_code ignored;
        this->stream.socket().close(ignored);
        this->all_written.cancel();
        this->input_arrived.cancel();
        this->turn.cancel();
        if (this->on_disconnect)
            std::exchange(this->on_disconnect, nullptr)();
        this->did_change_unsent();
    }

    /// Frees the memory at once: a request may take some time to end after its caller has gone.
    void drop_unsent() {
        if (!this->unsent.empty())
            this->has_write_failed = true;
        free_buffer(this->unsent);
    }

    void did_change_unsent() const {
        if (this->on_unsent_change)
            this->on_unsent_change();
    }

    /// Call after data has been added to `unsent`.
    void did_add_data() {
        // If it is set, earlier data waits for the write in progress.
        if (!this->unsent_since) {
            this->unsent_since = base::boot_clock::now();
            this->start_write(*this->unsent_since);
        }
        this->did_change_unsent();
    }

    /// Waits for the socket to become readable, which is also how a disconnect shows.
    void watch_socket() {
        if (this->is_watching || this->is_closed)
            return;
        this->is_watching = true;
        this->stream.socket().async_wait(tcp::socket::wait_read,
                                         [self = this->shared_from_this()](const error_code& error) {
                                             self->is_watching = false;
                                             if (error == asio::error::operation_aborted || self->is_closed)
                                                 return;
                                             if (self->is_awaiting_input)
                                                 self->input_arrived.cancel();
                                             else
                                                 self->check_socket(error);
                                         });
    }

    void check_socket(const error_code& wait_error) {
        char byte = 0;
        error_code error = wait_error;
        if (!error)
            this->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error == asio::error::would_block) {
            this->watch_socket();
            return;
        }
        // Without an error there is input of a next request, so the caller is still connected.
        if (error && this->on_disconnect)
            this->did_disconnect(connection_end::by_caller);
    }

    /// Whether the head that is sent next lets the caller keep the connection; this is not taken back later.
    bool decide_keep_alive() {
        if (this->should_close_when_idle)
            this->is_keep_alive = false;
        return this->is_keep_alive;
    }

    void start_write(base::time_point now) {
        if (this->is_writing || this->is_closed || this->unsent.empty())
            return;
        this->is_writing = true;
        this->progress = response_progress::partial;
        this->sending.swap(this->unsent);
        this->unsent.clear();
        this->write_started_at = now;
        this->sending_since = std::exchange(this->unsent_since, std::nullopt).value_or(now);
        this->arm_write_watchdog();
        asio::async_write(this->stream.socket(), asio::buffer(this->sending),
                          [self = this->shared_from_this()](const error_code& error, std::size_t) {
                              self->did_write(error);
                          });
    }

    /// OPTIMIZATION: One periodic timer checks the write in progress, instead of one timer for each write.
    void arm_write_watchdog() {
        if (this->is_write_watchdog_armed)
            return;
        this->is_write_watchdog_armed = true;
        this->write_watchdog.expires_after(this->bounds().write_timeout);
        this->write_watchdog.async_wait([weak = this->weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (error || !self || self->is_closed)
                return;
            self->is_write_watchdog_armed = false;
            if (!self->is_writing)
                return;
            if (base::boot_clock::now() - self->write_started_at >= self->bounds().write_timeout)
                self->did_disconnect(connection_end::write_late);
            else
                self->arm_write_watchdog();
        });
    }

    void did_write(const error_code& error) {
        this->is_writing = false;
        this->sending.clear();
        if (this->sending.capacity() > max_idle_buffer)
            free_buffer(this->sending);
        if (error) {
            this->has_write_failed = true;
            this->did_disconnect(connection_end::write_failed);
            return;
        }
        if (this->unsent.empty())
            this->all_written.cancel();
        else
            this->start_write(base::boot_clock::now());
        this->did_change_unsent();
    }

    /// Waits until there is input to read, or the connection has ended, at most until `end`.
    void await_input(base::time_point end, yield_context yield);
    /// Adds what has arrived to `input`; waits if nothing has. Fails with `late` if nothing arrives in time.
    expected<void> read_input(const input_deadline& deadline, yield_context yield);
    expected<void> await_first_byte(yield_context yield);
    /// Waits until it is this connection's turn to read more.
    void await_turn(yield_context yield);
    /// Parses input until the head or the whole request is complete.
    expected<void> parse_until(bool (request_parser::*is_complete)() const, request_parser& parser,
                               const input_deadline& deadline, yield_context yield);
    /// Parses the input that is there. Fails if what frames the body is too long.
    expected<void> parse_input(request_parser& parser, error_code& error);
    /// Reads a request within the size limits and timeouts.
    expected<http_request> read_message(request_parser& parser, yield_context yield);
    /// Accounts for all that is held for the request so far. Fails with `no_room` if there is none for it.
    expected<void> hold(const std::string& body);
    /// Of the buffer for input, what is beyond the part that each connection keeps.
    [[nodiscard]] std::uint64_t buffered_bytes() const {
        return this->input.capacity() > input_bytes ? this->input.capacity() - input_bytes : 0;
    }
    /// The request can't be read: frees what was held for it.
    void drop_message();
    /// The request is whole: accounts for its forms until the next one.
    expected<void> keep(const std::string& body);
    /// Frees what the last request left, and ends its account.
    void begin_message();

    /// Address of the caller, without its port; empty if it is not known any more.
    [[nodiscard]] std::string remote_address() const {
        error_code error;
        const tcp::endpoint remote = this->stream.socket().remote_endpoint(error);
        return error ? std::string() : remote.address().to_string();
    }

    static tl::unexpected<wire_error> no_room() {
        return tl::unexpected<wire_error>({wire_failure::no_room, "no memory for the whole request"});
    }

    expected<void> wait_until_written(yield_context yield) {
        error_code ignored;
        while (!this->is_closed && (this->is_writing || !this->unsent.empty()))
            this->all_written.async_wait(yield[ignored]);
        // If everything was written, a disconnect after that is no failure.
        if (this->is_writing || this->has_write_failed || !this->unsent.empty())
            return tl::make_unexpected(wire_error{wire_failure::broken, "the caller has gone"});
        this->progress = response_progress::whole;
        return {};
    }

    /// Appends the head of a response.
    void begin_response(const response_head& head, std::string_view framing) {
        const bool is_kept = this->decide_keep_alive();
        this->is_close_announced = !is_kept;
        this->unsent += format_head(head, framing, is_kept);
    }

    beast::tcp_stream stream;
    bounds_source bounds;
    connection_intake intake;
    std::string source;                    ///< Address of the caller.
    beast::flat_buffer input{input_bytes}; ///< Its maximum follows the limits once a request begins.
    std::size_t head_bytes = 0;            ///< Of the request that is being read, once its head is whole.
    std::size_t body_limit = 0;            ///< Of that request.
    framing_limit framing;                 ///< Of that request.
    std::string unsent;
    std::string sending;
    std::optional<base::time_point> unsent_since; ///< When the first byte of `unsent` was added.
    base::time_point sending_since{};             ///< When the first byte of `sending` was added.
    std::function<void()> on_unsent_change;
    boot_timer all_written;
    boot_timer input_arrived; ///< Cancelled when there is input, or the connection has ended.
    boot_timer write_watchdog;
    boot_timer turn; ///< Cancelled when it is this connection's turn to read, or it has ended.
    base::boot_clock::time_point write_started_at{};
    bool is_write_watchdog_armed = false;
    std::function<void()> on_disconnect;
    bool is_watching = false;
    bool is_awaiting_input = false;
    bool is_writing = false;
    bool is_closed = false;
    bool has_write_failed = false;
    bool is_keep_alive = true;
    bool is_idle = false; ///< Between two requests.
    bool should_close_when_idle = false;
    connection_end end = connection_end::none;
    response_progress progress = response_progress::none;
    bool is_close_announced = false; ///< By the last response.
    bool is_reading = false;         ///< Part of a request has arrived.
    bool is_serving = false;         ///< A whole request was read; the next one has not begun.
    bool was_served = false;         ///< An earlier request was read and answered.
    base::time_point last_arrival = base::boot_clock::now();
    /// What is held for the request that was read last, or is being read; empty if it isn't accounted for.
    std::optional<collected_data::scoped_message> held;
    bool is_given_up = false; ///< There was no room for the rest of the request.
};

caller_connection::caller_connection(tcp::socket socket, bounds_source bounds, connection_intake intake)
    : impl(std::make_shared<implementation>(std::move(socket), std::move(bounds), std::move(intake))) {
    this->impl->open_account();
}

caller_connection::~caller_connection() {
    this->impl->on_disconnect = nullptr;
    this->impl->on_unsent_change = nullptr;
    this->abort();
    // A write in progress may keep the rest for some time.
    this->impl->held.reset();
}

void caller_connection::implementation::await_input(base::time_point end, yield_context yield) {
    this->watch_socket();
    this->input_arrived.expires_at(end);
    this->is_awaiting_input = true;
    error_code ignored;
    this->input_arrived.async_wait(yield[ignored]);
    this->is_awaiting_input = false;
}

expected<void> caller_connection::implementation::read_input(const input_deadline& deadline,
                                                             yield_context yield) {
    this->input.reserve(input_bytes);
    while (true) {
        if (this->is_given_up)
            return no_room();
        error_code error;
        const std::size_t size = beast::read_size(this->input, input_bytes);
        if (size == 0)
            return tl::make_unexpected(
                wire_error{wire_failure::head_too_large, "a line or section is too long"});
        const std::size_t count = this->stream.socket().read_some(this->input.prepare(size), error);
        if (!error) {
            this->input.commit(count);
            this->last_arrival = base::boot_clock::now();
            return {};
        }
        if (error == asio::error::eof)
            error = http::error::partial_message;
        if (error != asio::error::would_block)
            return tl::make_unexpected(to_wire_error(error));
        if (this->is_idle && this->should_close_when_idle)
            return tl::make_unexpected(wire_error{wire_failure::closed, "closing between two requests"});
        const base::time_point end = deadline();
        if (base::boot_clock::now() >= end)
            return tl::make_unexpected(wire_error{wire_failure::late, "the request took too long to arrive"});
        this->await_input(end, yield);
    }
}

expected<void> caller_connection::implementation::await_first_byte(yield_context yield) {
    if (this->input.size() > 0)
        return {};
    const base::time_point began = base::boot_clock::now();
    const auto deadline = [this, began] { return began + this->bounds().idle_timeout; };
    this->is_idle = true;
    const auto arrived = this->read_input(deadline, yield);
    this->is_idle = false;
    if (!arrived) {
        const wire_failure failure = arrived.error().failure;
        const bool is_own_close = failure == wire_failure::closed && this->should_close_when_idle;
        this->record_end(failure == wire_failure::late ? connection_end::idle
                         : is_own_close                ? connection_end::unannounced
                                                       : connection_end::by_caller);
        return tl::make_unexpected(wire_error{wire_failure::closed, arrived.error().detail});
    }
    return {};
}

void caller_connection::implementation::await_turn(yield_context yield) {
    if (!this->intake.turns) {
        asio::post(this->stream.get_executor(), yield);
        return;
    }
    const read_turns::scoped_wait wait(*this->intake.turns, this->source, [this] { this->turn.cancel(); });
    error_code ignored;
    while (!wait.has_turn() && !this->is_closed && !this->is_given_up)
        this->turn.async_wait(yield[ignored]);
}

expected<void> caller_connection::implementation::parse_input(request_parser& parser, error_code& error) {
    std::string& body = parser.get().body();
    const bool is_head = !parser.is_header_done();
    const std::size_t body_bytes = body.size();
    // The length of any other body is known, and its buffer allocated.
    if (!is_head && parser.chunked())
        reserve_body(body, this->input.size(), this->body_limit);
    const std::size_t parsed = parser.put(this->input.data(), error);
    this->input.consume(parsed);
    if (is_head) {
        this->head_bytes += parsed;
        return {};
    }
    this->framing.body_bytes = body.size();
    this->framing.framing_bytes += parsed - (body.size() - body_bytes);
    if (this->framing.is_exceeded())
        return tl::make_unexpected(
            wire_error{wire_failure::too_large, "framing of the body exceeds the limit"});
    return {};
}

expected<void> caller_connection::implementation::parse_until(bool (request_parser::*is_complete)() const,
                                                              request_parser& parser,
                                                              const input_deadline& deadline,
                                                              yield_context yield) {
    while (!(parser.*is_complete)()) {
        error_code error = http::error::need_more;
        if (this->input.size() > 0) {
            POSTPADDLE_TRY_VOID(this->parse_input(parser, error));
        }
        POSTPADDLE_TRY_VOID(this->hold(parser.get().body()));
        if (error == http::error::need_more) {
            // A caller that sends without a pause must not keep other connections from being served.
            this->await_turn(yield);
            POSTPADDLE_TRY_VOID(this->read_input(deadline, yield));
        } else if (error) {
            return tl::make_unexpected(to_wire_error(error));
        }
    }
    return {};
}

expected<http_request> caller_connection::implementation::read_message(request_parser& parser,
                                                                       yield_context yield) {
    // The limits may change while the request arrives. It may have been sent under the former ones, so the
    // larger ones apply.
    const connection_bounds first = this->bounds();
    const base::time_point began = base::boot_clock::now();
    const auto head_deadline = [&] {
        return began + std::max(first.header_timeout, this->bounds().header_timeout);
    };
    const auto request_deadline = [&] {
        return began + std::max(first.request_timeout, this->bounds().request_timeout);
    };
    // Lines and sections after the head are parsed as a whole, as the head is.
    this->input.max_size(std::max(this->input.size(), first.header_bytes + input_bytes));
    if (this->held && first.reserved_body_bytes > 0)
        this->intake.account->set_reserve(whole_request_bytes(first.header_bytes, first.reserved_body_bytes));
    parser.header_limit(static_cast<std::uint32_t>(first.header_bytes));
    // The limit of the body is applied when the head has been read.
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    parser.eager(false);
    POSTPADDLE_TRY_VOID(this->parse_until(&request_parser::is_header_done, parser, head_deadline, yield));
    if (!is_framing_sound(parser.get()))
        return tl::make_unexpected(wire_error{wire_failure::malformed, "the request's framing is not sound"});
    this->body_limit = std::max(first.body_bytes, this->bounds().body_bytes);
    if (parser.content_length().value_or(0) > this->body_limit)
        return tl::make_unexpected(to_wire_error(http::error::body_limit));
    http_request request = copy_head(parser.get());
    if (!parser.is_done()) {
        parser.body_limit(this->body_limit);
        parser.eager(true);
        if (boost::beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            this->unsent += continue_response;
            this->did_add_data();
        }
        POSTPADDLE_TRY_VOID(this->parse_until(&request_parser::is_done, parser, request_deadline, yield));
    }
    POSTPADDLE_TRY_VOID(this->keep(parser.get().body()));
    this->is_keep_alive = this->is_keep_alive && parser.keep_alive();
    request.body = std::move(parser.get().body());
    return request;
}

expected<void> caller_connection::implementation::hold(const std::string& body) {
    // Of a body whose length was announced, only what has arrived occupies memory.
    const std::uint64_t body_bytes = this->framing.framing_bytes > 0 ? body.capacity() : body.size();
    // The head stands twice: as parsed, and in the request.
    if (!this->held || this->held->try_hold(this->buffered_bytes() + 2 * this->head_bytes + body_bytes))
        return {};
    return no_room();
}

expected<void> caller_connection::implementation::keep(const std::string& body) {
    if (!this->held)
        return {};
    // The body stands twice once it is sent.
    if (!this->held->try_hold(this->buffered_bytes() + this->head_bytes + 2 * body.size()))
        return no_room();
    this->held->did_complete();
    return {};
}

void caller_connection::implementation::drop_message() {
    this->input.clear();
    this->input.shrink_to_fit();
    if (this->held)
        (void)this->held->try_hold(0);
    // Its answer, and what is read after that, are not given up.
    this->is_given_up = false;
}

void caller_connection::implementation::begin_message() {
    this->was_served |= std::exchange(this->is_serving, false);
    this->head_bytes = 0;
    this->body_limit = 0;
    this->framing = {};
    if (this->input.size() == 0 && this->input.capacity() > max_idle_buffer) {
        this->input.clear();
        this->input.shrink_to_fit();
    }
    if (this->held)
        this->held->begin_next();
}

expected<http_request> caller_connection::read_request(yield_context yield) {
    implementation& self = *this->impl;
    self.progress = response_progress::none;
    self.begin_message();
    POSTPADDLE_TRY_VOID(self.await_first_byte(yield));
    self.is_reading = true;
    request_parser parser;
    auto request = self.read_message(parser, yield);
    if (!request) {
        // A request that can't be read still gets an answer.
        const wire_failure failure = request.error().failure;
        if (failure == wire_failure::closed || failure == wire_failure::broken)
            self.record_end(connection_end::by_caller);
        self.drop_message();
        return request;
    }
    self.progress = response_progress::none;
    self.is_reading = false;
    self.is_serving = true;
    return request;
}

std::string caller_connection::remote_address() const { return this->impl->remote_address(); }

const std::string& caller_connection::source() const { return this->impl->source; }

place_holder caller_connection::place() const {
    const implementation& self = *this->impl;
    return {.is_serving = self.is_serving, .was_served = self.was_served, .last_arrival = self.last_arrival};
}

bool caller_connection::has_unread_input() const {
    error_code error;
    return this->impl->stream.socket().available(error) > 0;
}

void caller_connection::watch_for_disconnect(std::function<void()> on_disconnect) {
    this->impl->on_disconnect = std::move(on_disconnect);
    this->impl->watch_socket();
}

void caller_connection::stop_watching() { this->impl->on_disconnect = nullptr; }

bool caller_connection::is_closed() const { return this->impl->is_closed; }

unsent_data caller_connection::unsent() const {
    const implementation& self = *this->impl;
    if (self.is_closed)
        return {};
    const base::time_point since =
        self.is_writing ? self.sending_since : self.unsent_since.value_or(base::time_point{});
    return {self.sending.size() + self.unsent.size(), since};
}

void caller_connection::watch_unsent(std::function<void()> on_change) {
    this->impl->on_unsent_change = std::move(on_change);
}

void caller_connection::disconnect(connection_end cause) { this->impl->did_disconnect(cause); }

connection_end caller_connection::end() const {
    const implementation& self = *this->impl;
    if (self.end != connection_end::none || self.is_keep_alive)
        return self.end;
    return self.is_close_announced ? connection_end::announced : connection_end::unannounced;
}

response_progress caller_connection::progress() const { return this->impl->progress; }

bool caller_connection::has_partial_request() const { return this->impl->is_reading; }

expected<void> caller_connection::send(const http_response& response, yield_context yield) {
    implementation& self = *this->impl;
    const std::string framing = "Content-Length: " + std::to_string(response.body.size());
    self.begin_response({response.status, response.headers}, framing);
    self.unsent += response.body;
    self.did_add_data();
    return self.wait_until_written(yield);
}

void caller_connection::send_and_close(const http_response& response, yield_context yield) {
    implementation& self = *this->impl;
    self.is_keep_alive = false;
    if (!this->send(response, yield))
        return;
    error_code error;
    self.stream.socket().shutdown(tcp::socket::shutdown_send, error);
    self.stream.expires_after(linger_timeout);
    while (!error) {
        self.await_turn(yield);
        self.input.clear();
        self.stream.async_read_some(self.input.prepare(4096), yield[error]);
    }
}

void caller_connection::close_when_idle() {
    implementation& self = *this->impl;
    self.should_close_when_idle = true;
    if (self.is_idle)
        self.input_arrived.cancel();
}

void caller_connection::begin_stream(const response_head& head) {
    implementation& self = *this->impl;
    self.begin_response(head, "Transfer-Encoding: chunked");
}

bool caller_connection::append(std::string_view part) {
    implementation& self = *this->impl;
    if (self.is_closed)
        return false;
    if (part.empty())
        return true;
    append_chunk(self.unsent, part);
    if (self.unsent.size() > self.bounds().unsent_bytes) {
        self.did_disconnect(connection_end::unsent_bound);
        return false;
    }
    self.did_add_data();
    return !self.is_closed;
}

expected<void> caller_connection::end_stream(yield_context yield) {
    implementation& self = *this->impl;
    self.unsent += "0\r\n\r\n";
    self.did_add_data();
    return self.wait_until_written(yield);
}

void caller_connection::abort(connection_end cause) {
    implementation& self = *this->impl;
    self.record_end(cause);
    self.is_closed = true;
    self.is_keep_alive = false;
    error_code ignored;
    self.stream.socket().close(ignored);
    self.all_written.cancel();
    self.input_arrived.cancel();
}

bool caller_connection::is_keep_alive() const { return this->impl->is_keep_alive; }

void caller_connection::close_after_response() { this->impl->is_keep_alive = false; }

} // namespace postpaddle::wire
