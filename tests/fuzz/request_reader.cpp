// SPDX-License-Identifier: BSD-2-Clause
#include <fuzz/request_reader.h>

#include <wire/caller_connection.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

namespace postpaddle::fuzz {

namespace {

using namespace std::chrono_literals;
using tcp = wire::asio::ip::tcp;

constexpr wire::connection_bounds bounds{.header_bytes = 1'024,
                                         .body_bytes = 4'096,
                                         .header_timeout = 1h,
                                         .request_timeout = 1h,
                                         .idle_timeout = 1h,
                                         .reserved_body_bytes = 4'096};
constexpr std::uint64_t account_share = 4'096;
/// A head is at most so long in the buffer, and twice as parsed and copied; fields need some bytes more than
/// they have on the wire.
constexpr std::size_t max_header_bytes = 2 * bounds.header_bytes;

/// A connection that reads one request after the other and answers each.
class reading_connection {
public:
    reading_connection()
        : acceptor(this->context, {wire::asio::ip::address_v4::loopback(), 0}), client(this->context) {
        this->client.connect(this->acceptor.local_endpoint());
        this->client.set_option(tcp::no_delay(true));
        this->connection = std::make_unique<wire::caller_connection>(
            this->acceptor.accept(), wire::fixed_bounds(bounds),
            wire::connection_intake{.account = this->account, .turns = this->turns});
        wire::spawn_coroutine(this->context, [this](wire::yield_context yield) { this->read_all(yield); });
    }

    /// Sends a part, and has it read. Returns false once the connection takes no more.
    bool send(std::span<const std::uint8_t> part) {
        wire::error_code error;
        wire::asio::write(this->client, wire::asio::buffer(part.data(), part.size()), error);
        this->run();
        this->check_account();
        return !error && !this->is_over;
    }

    reading_result end() {
        wire::error_code ignored;
        this->client.shutdown(tcp::socket::shutdown_send, ignored);
        this->run();
        if (!this->is_over)
            this->note("the connection is not over although its client has gone");
        this->connection.reset();
        if (this->account->bytes() != 0)
            this->note("the account holds something for a connection that has ended");
        return std::move(this->result);
    }

private:
    void run() {
        this->context.restart();
        while (this->context.poll() > 0) {
        }
    }

    void read_all(wire::yield_context yield) {
        while (!this->connection->is_closed()) {
            const auto request = this->connection->read_request(yield);
            if (!request)
                break;
            ++this->result.requests;
            this->check_request(*request);
            if (!this->connection->send({200, {}, ""}, yield) || !this->connection->is_keep_alive())
                break;
        }
        this->is_over = true;
    }

    void check_request(const wire::http_request& request) {
        std::size_t header_bytes = request.method.size() + request.target.size();
        for (const wire::http_header& header : request.headers)
            header_bytes += header.name.size() + header.value.size();
        if (header_bytes > max_header_bytes)
            this->note("a head exceeds its bound");
        if (request.body.size() > bounds.body_bytes)
            this->note("a body exceeds its bound");
        this->check_account();
    }

    void check_account() {
        if (this->account->bytes() > this->account->bound())
            this->note("the account exceeds its bound");
    }

    void note(const char* violation) { this->result.violation = violation; }

    wire::asio::io_context context;
    tcp::acceptor acceptor;
    tcp::socket client;
    std::shared_ptr<wire::collected_data> account = std::make_shared<wire::collected_data>(account_share);
    std::shared_ptr<wire::read_turns> turns = std::make_shared<wire::read_turns>(this->context);
    std::unique_ptr<wire::caller_connection> connection;
    reading_result result;
    bool is_over = false;
};

} // namespace

reading_result read_untrusted_bytes(std::span<const std::uint8_t> bytes, std::size_t part_bytes) {
    reading_connection connection;
    for (bool is_open = true; is_open && !bytes.empty();) {
        const std::size_t size = std::min(bytes.size(), std::max<std::size_t>(1, part_bytes));
        is_open = connection.send(bytes.first(size));
        bytes = bytes.subspan(size);
    }
    return connection.end();
}

} // namespace postpaddle::fuzz
