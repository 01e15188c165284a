// SPDX-License-Identifier: BSD-2-Clause
#include <gateway/peers/peer_datagrams.h>

#include <base/hashing.h>
#include <base/try.h>
#include <wire/endpoint.h>

namespace postpaddle::gateway {

using udp = wire::asio::ip::udp;

peer_datagrams::peer_datagrams(gateway_state& state) : state(&state), socket(*state.context) {}

wire::expected<void> peer_datagrams::listen() {
    if (this->state->process->load_port == 0)
        return {};
    POSTPADDLE_TRY(endpoint, wire::parse_endpoint(this->state->process->peers));
    wire::error_code error;
    const udp::endpoint own(endpoint.address(), this->state->process->load_port);
    this->socket.open(own.protocol(), error);
    if (!error)
        this->socket.bind(own, error);
    if (!error)
        this->socket.non_blocking(true, error);
    if (error)
        return tl::make_unexpected(wire::wire_error{wire::wire_failure::bad_address, error.message()});
    return {};
}

void peer_datagrams::start() {
    if (this->socket.is_open())
        this->receive();
}

void peer_datagrams::receive() {
    this->socket.async_receive_from(wire::asio::buffer(this->datagram), this->sender,
                                    [this](const wire::error_code& error, std::size_t size) {
                                        if (!error && this->is_accepted())
                                            this->handle({this->datagram.data(), size});
                                        if (error != wire::asio::error::operation_aborted)
                                            this->receive();
                                    });
}

namespace {

/// A key for the sender's IP address, ignoring the port.
std::uint64_t key_of(const wire::asio::ip::address& address) {
    if (address.is_v4())
        return address.to_v4().to_uint();
    const auto bytes = address.to_v6().to_bytes();
    return base::hash64(std::string(bytes.begin(), bytes.end()));
}

} // namespace

bool peer_datagrams::is_accepted() {
    const host::sender_verdict verdict =
        host::check_sender(this->guard, host::sender_rate_limiter_options{}, key_of(this->sender.address()),
                           this->state->clock->now());
    if (verdict == host::sender_verdict::accept)
        return true;
    this->state->metrics->count("ignored_datagrams_total");
    if (verdict == host::sender_verdict::start_dropping)
        this->state->log->write("sender_ignored", {{"address", this->sender.address().to_string()}});
    return false;
}

void peer_datagrams::handle(std::string_view bytes) {
    const auto found =
        bytes.empty() ? this->handlers.end() : this->handlers.find(static_cast<datagram_kind>(bytes.front()));
    if (found == this->handlers.end() || !found->second(bytes.substr(1)))
        this->state->metrics->count("malformed_datagrams_total");
}

void peer_datagrams::send(datagram_kind kind, const std::string& bytes,
                          const std::vector<std::string>& addresses) {
    const std::string message = static_cast<char>(kind) + bytes;
    for (const std::string& address : addresses) {
        const auto endpoint = wire::parse_endpoint(address);
        if (!endpoint)
            continue;
        // Treat a failed send like a lost datagram.
        wire::error_code error;
        this->socket.send_to(wire::asio::buffer(message),
                             udp::endpoint(endpoint->address(), this->state->process->load_port), 0, error);
        if (error)
            this->state->metrics->count("datagrams_unsent_total{error=\"" + error.message() + "\"}");
    }
}

} // namespace postpaddle::gateway
