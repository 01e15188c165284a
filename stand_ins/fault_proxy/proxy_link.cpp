// SPDX-License-Identifier: BSD-2-Clause
#include <fault_proxy/proxy_link.h>

#include <wire/endpoint.h>

#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace postpaddle::stand_in {

namespace {

constexpr std::size_t piece_bytes = 16UL * 1024;
constexpr auto look_pause = std::chrono::milliseconds(5);

} // namespace

proxy_link::proxy_link(wire::asio::io_context& context, std::string target)
    : context(&context), target(std::move(target)),
      acceptor(context, {wire::asio::ip::address_v4::loopback(), 0}) {}

void proxy_link::start() {
    wire::spawn_coroutine(*this->context, [self = this->shared_from_this()](wire::yield_context yield) {
        self->accept(yield);
    });
}

void proxy_link::set_faults(const link_faults& next) {
    this->current = next;
    if (next.is_cut)
        for (const auto& both : std::exchange(this->open, {}))
            close(*both);
}

void proxy_link::close(pair& both) {
    wire::error_code ignored;
    both.client.close(ignored);
    both.server.close(ignored);
}

void proxy_link::accept(wire::yield_context yield) {
    while (true) {
        wire::error_code error;
        auto both = std::make_shared<pair>(pair{socket(*this->context), socket(*this->context)});
        this->acceptor.async_accept(both->client, yield[error]);
        if (error)
            return;
        ++this->accepted;
        if (this->current.is_cut) {
            close(*both);
            continue;
        }
        wire::spawn_coroutine(*this->context, [self = this->shared_from_this(),
                                               both](wire::yield_context own) {
            wire::error_code connect_error;
            const auto endpoint = wire::parse_endpoint(self->target);
            both->server.async_connect(*endpoint, own[connect_error]);
            if (connect_error) {
                close(*both);
                return;
            }
            self->open.insert(both);
            wire::spawn_coroutine(*self->context,
                                  [self, both](wire::yield_context back) { self->carry(both, true, back); });
            self->carry(both, false, own);
        });
    }
}

void proxy_link::hold_back(bool is_answer, wire::yield_context yield) const {
    wire::error_code ignored;
    wire::boot_timer timer(*this->context);
    if (this->current.delay_ms > 0) {
        timer.expires_after(std::chrono::milliseconds(this->current.delay_ms));
        timer.async_wait(yield[ignored]);
    }
    while (this->current.is_frozen || (is_answer && this->current.is_answer_frozen)) {
        timer.expires_after(look_pause);
        timer.async_wait(yield[ignored]);
    }
}

void proxy_link::take_turn(std::size_t bytes, wire::yield_context yield) {
    if (this->current.bytes_per_s <= 0)
        return;
    const auto length = std::chrono::duration<double>(static_cast<double>(bytes) /
                                                      static_cast<double>(this->current.bytes_per_s));
    this->free_at = std::max(this->free_at, base::boot_clock::now()) +
                    std::chrono::duration_cast<base::boot_clock::duration>(length);
    wire::error_code ignored;
    wire::boot_timer timer(*this->context, this->free_at);
    timer.async_wait(yield[ignored]);
}

void proxy_link::carry(const std::shared_ptr<pair>& both, bool is_answer, wire::yield_context yield) {
    socket& from = is_answer ? both->server : both->client;
    socket& to = is_answer ? both->client : both->server;
    std::array<char, piece_bytes> piece{};
    wire::error_code error;
    while (!error) {
        std::size_t count = from.async_read_some(wire::asio::buffer(piece), yield[error]);
        if (error)
            break;
        this->hold_back(is_answer, yield);
        const bool has_limit = is_answer && this->current.cut_after >= 0;
        if (has_limit && both->answered + static_cast<std::int64_t>(count) > this->current.cut_after) {
            count =
                static_cast<std::size_t>(std::max<std::int64_t>(0, this->current.cut_after - both->answered));
            wire::asio::async_write(to, wire::asio::buffer(piece.data(), count), yield[error]);
            break;
        }
        if (is_answer) {
            this->take_turn(count, yield);
            both->answered += static_cast<std::int64_t>(count);
            this->answered += count;
        }
        wire::asio::async_write(to, wire::asio::buffer(piece.data(), count), yield[error]);
    }
    close(*both);
    this->open.erase(both);
}

} // namespace postpaddle::stand_in
