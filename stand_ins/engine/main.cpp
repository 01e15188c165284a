// SPDX-License-Identifier: BSD-2-Clause
// Stand-in model engine for tests and benchmarks: simulates prefill, KV cache transfer and decode at
// configured rates. Faults are injected through `/control`.

#include <engine/engine.h>

#include <gflags/gflags.h>

#include <csignal>

DEFINE_string(name, "engine", "name of the engine");
DEFINE_int32(port, 0, "port on 127.0.0.1; 0 lets the system choose");
DEFINE_uint64(seed, 1, "seed of all that is random");
DEFINE_double(prompt_rate, 20'000, "prompt tokens a second");
DEFINE_int32(prompt_overhead_us, 3'000, "microseconds added to each prefill");
DEFINE_int32(places, 32, "requests decoded at once");
DEFINE_int32(step_us, 20'000, "microseconds between tokens with one request");
DEFINE_int32(step_each_us, 100, "more microseconds for each further request");
DEFINE_int32(kept_ms, 3'000, "milliseconds that a prefill result is kept");
DEFINE_double(link_rate, 4e9, "KV bytes sent a second");
DEFINE_double(kv_bytes_per_token, 131'072, "KV bytes of a prompt token");
DEFINE_int32(load_lag_ms, 250, "age of the reported load");
DEFINE_int32(cache_blocks, 8192, "blocks of 128 tokens in the prefix cache");
DEFINE_bool(checks_orders, true, "refuse orders with an old token");

int main(int argc, char** argv) {
    using namespace postpaddle;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    stand_in::engine_options options;
    options.name = FLAGS_name;
    options.seed = FLAGS_seed;
    options.prefill_tokens_per_second = FLAGS_prompt_rate;
    options.prefill_overhead = std::chrono::microseconds(FLAGS_prompt_overhead_us);
    options.decode_slots = FLAGS_places;
    options.step_duration = std::chrono::microseconds(FLAGS_step_us);
    options.step_duration_per_request = std::chrono::microseconds(FLAGS_step_each_us);
    options.prefill_retention = std::chrono::milliseconds(FLAGS_kept_ms);
    options.link_bytes_per_second = FLAGS_link_rate;
    options.kv_bytes_per_token = FLAGS_kv_bytes_per_token;
    options.load_report_delay = std::chrono::milliseconds(FLAGS_load_lag_ms);
    options.prefix_cache_blocks = static_cast<std::size_t>(FLAGS_cache_blocks);
    options.rejects_stale_orders = FLAGS_checks_orders;
    wire::asio::io_context context{1};
    stand_in::engine engine(context, options);
    const auto listener =
        stand_in::serve(context, static_cast<std::uint16_t>(FLAGS_port),
                        [&engine](const wire::http_request& request, wire::caller_connection& connection,
                                  wire::yield_context yield) { engine.serve(request, connection, yield); });
    engine.set_port(listener->port());
    stand_in::stop_on_signal(context);
    context.run();
    return 0;
}
