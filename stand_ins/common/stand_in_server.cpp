// SPDX-License-Identifier: BSD-2-Clause
#include <common/stand_in_server.h>

#include <base/try.h>

#include <boost/asio/signal_set.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <sstream>

namespace postpaddle::stand_in {

namespace {

void serve_connection(const request_handler& handler, wire::caller_connection& connection,
                      wire::yield_context yield) {
    while (!connection.is_closed()) {
        const auto request = connection.read_request(yield);
        if (!request)
            return;
        handler(*request, connection, yield);
        connection.stop_watching();
        if (!connection.is_keep_alive())
            return;
    }
}

/// Ports that are tried at several addresses before giving up.
constexpr int max_port_choices = 100;

wire::expected<std::shared_ptr<wire::http_listener>>
listen_at(wire::asio::io_context& context, const std::string& address, std::uint16_t port) {
    wire::listener_options options;
    options.address = address;
    options.port = port;
    options.bounds = wire::fixed_bounds({.body_bytes = 64UL * 1024 * 1024,
                                         .idle_timeout = std::chrono::minutes(10),
                                         .unsent_bytes = 64UL * 1024 * 1024});
    options.connections = 20'000;
    options.account_bytes = 1024UL * 1024 * 1024;
    return wire::http_listener::create(context, options);
}

wire::expected<std::vector<std::shared_ptr<wire::http_listener>>>
listen_at_each(wire::asio::io_context& context, const std::vector<std::string>& addresses,
               std::uint16_t port) {
    std::vector<std::shared_ptr<wire::http_listener>> listeners;
    for (const std::string& address : addresses) {
        const std::uint16_t shared_port = listeners.empty() ? port : listeners.front()->port();
        POSTPADDLE_TRY(listener, listen_at(context, address, shared_port));
        listeners.push_back(std::move(listener));
    }
    return listeners;
}

/// The byte of the escape, such as `%2B`, at that place; nothing if there is none.
std::optional<char> escaped_byte(const std::string& text, std::size_t index) {
    static constexpr std::string_view digits = "0123456789ABCDEFabcdef";
    static constexpr int hexadecimal = 16;
    const std::string escape = text.substr(index, 3);
    const bool is_escape =
        escape.size() == 3 && escape[0] == '%' && escape.find_first_not_of(digits, 1) == std::string::npos;
    if (!is_escape)
        return std::nullopt;
    return static_cast<char>(std::stoi(escape.substr(1), nullptr, hexadecimal));
}

/// Decodes a name or value of `application/x-www-form-urlencoded`; what is no escape stays.
std::string form_decoded(const std::string& text) {
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const auto byte = escaped_byte(text, index);
        const char plain = text[index] == '+' ? ' ' : text[index];
        decoded += byte.value_or(plain);
        // The digits of an escape.
        index += byte ? 2 : 0;
    }
    return decoded;
}

} // namespace

std::shared_ptr<wire::http_listener> serve(wire::asio::io_context& context, std::uint16_t port,
                                           const request_handler& handler,
                                           const connection_end_handler& did_end) {
    return serve_at_each(context, {"127.0.0.1"}, port, handler, did_end).front();
}

std::vector<std::shared_ptr<wire::http_listener>>
serve_at_each(wire::asio::io_context& context, const std::vector<std::string>& addresses, std::uint16_t port,
              const request_handler& handler, const connection_end_handler& did_end) {
    auto listeners = listen_at_each(context, addresses, port);
    for (int choice = 1; !listeners && port == 0 && choice < max_port_choices; ++choice)
        listeners = listen_at_each(context, addresses, port);
    if (!listeners) {
        std::cerr << "can't listen: " << listeners.error().detail << '\n';
        std::exit(EXIT_FAILURE); // NOLINT(concurrency-mt-unsafe): single-threaded here.
    }
    for (const auto& listener : *listeners)
        listener->start([handler, did_end](wire::caller_connection& connection, wire::yield_context yield) {
            serve_connection(handler, connection, yield);
            if (did_end)
                did_end(connection);
        });
    std::cout << json{{"port", listeners->front()->port()}} << std::endl;
    return *listeners;
}

wire::http_response json_response(const json& body, int status) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

json parse_json_body(const wire::http_request& request) {
    json parsed = json::parse(request.body, nullptr, false);
    return parsed.is_object() ? parsed : json::object();
}

std::string encode_base64(const std::string& bytes) {
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

std::optional<std::string> find_query_parameter(const std::string& target, const std::string& name) {
    const auto begin = std::min(target.find('?'), target.size() - 1) + 1;
    std::istringstream query(target.substr(begin));
    for (std::string field; std::getline(query, field, '&');) {
        const auto equals = std::min(field.find('='), field.size());
        if (form_decoded(field.substr(0, equals)) == name)
            return form_decoded(field.substr(std::min(equals + 1, field.size())));
    }
    return std::nullopt;
}

std::string query_parameter(const std::string& target, const std::string& name) {
    return find_query_parameter(target, name).value_or("");
}

bool is_uri_target(const std::string& target) {
    static constexpr std::string_view allowed =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789"
        "-._~!$&'()*+,;=:@/?";
    for (std::size_t index = 0; index < target.size(); ++index)
        if (allowed.find(target[index]) == std::string_view::npos && !escaped_byte(target, index))
            return false;
    return target.starts_with('/');
}

void stop_on_signal(wire::asio::io_context& context) {
    auto signals = std::make_shared<wire::asio::signal_set>(context, SIGTERM, SIGINT);
    signals->async_wait(
        [signals, &context](const wire::error_code& /*error*/, int /*signal*/) { context.stop(); });
}

} // namespace postpaddle::stand_in
