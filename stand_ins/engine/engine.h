// SPDX-License-Identifier: BSD-2-Clause
#pragma once

#include <common/stand_in_server.h>
#include <engine/decode_stage.h>
#include <engine/engine_options.h>
#include <engine/prefill_stage.h>
#include <wire/connection_pool.h>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace postpaddle::stand_in {

/// Stand-in model engine: the HTTP interface in front of a prefill and a decode stage.
class engine {
public:
    engine(wire::asio::io_context& context, const engine_options& options);

    /// Sets the port that decode engines are told to fetch KV caches from.
    void set_port(std::uint16_t port) { this->port = port; }
    void serve(const wire::http_request& request, wire::caller_connection& connection,
               wire::yield_context yield);

private:
    struct load_sample {
        base::boot_clock::time_point at{};
        json load;
    };

    void handle_completion(const wire::http_request& request, wire::caller_connection& connection,
                           wire::yield_context yield);
    void run_prefill(const json& body, const std::string& id, bool is_chat,
                     wire::caller_connection& connection, wire::yield_context yield);
    void run_decode(const json& body, const std::string& id, bool is_chat,
                    wire::caller_connection& connection, wire::yield_context yield);
    /// Fetches the KV cache from the prefill engine. Returns 200, or the status to reject the request with.
    [[nodiscard]] int fetch_kv(const json& parameters, decode_job& job, wire::yield_context yield);
    void stream_tokens(const std::shared_ptr<decode_job>& job, const std::string& response_id, bool is_chat,
                       int prompt_tokens, wire::caller_connection& connection, wire::yield_context yield);
    void handle_kv_pull(const wire::http_request& request, wire::caller_connection& connection,
                        wire::yield_context yield);
    [[nodiscard]] wire::http_response set_faults(const json& body);
    [[nodiscard]] wire::http_response handle_order(const json& body);
    [[nodiscard]] json current_load() const;
    [[nodiscard]] json reported_load();
    [[nodiscard]] json counters_json() const;
    void sample_load(wire::yield_context yield);
    [[nodiscard]] static bool consume_fault(int& fault);

    wire::asio::io_context* context;
    engine_options options;
    engine_counters counters;
    engine_faults faults;
    prefill_stage prefills;
    decode_stage decodes;
    wire::connection_pool pool;
    std::map<std::string, int> runs; ///< Decodes started, by prompt digest.
    std::deque<load_sample> load_samples;
    std::uint64_t max_order_token = 0;
    std::string role = "any";
    bool is_draining = false;
    std::uint16_t port = 0;
};

} // namespace postpaddle::stand_in
