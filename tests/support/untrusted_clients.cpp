// SPDX-License-Identifier: BSD-2-Clause
#include <support/untrusted_clients.h>

namespace postpaddle::test {

namespace {

constexpr std::size_t endless_bytes = 4'000'000;
constexpr const char* chunked_head =
    "POST /again/ HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: endless\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string head_with_length(std::size_t bytes) {
    return "POST /again/ HTTP/1.1\r\nHost: cluster.example\r\nX-Attempt-Id: long\r\nContent-Length: " +
           std::to_string(bytes) + "\r\n\r\n";
}

} // namespace

std::vector<named_crowd> make_untrusted_clients() {
    const std::string chunk_of_one = "1\r\nx\r\n";
    const std::string large_chunk = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
    return {
        {"trailers without end",
         {.begin = std::string(chunked_head) + chunk_of_one + "0\r\n",
          .repeated = "X-Trailer: " + std::string(100, 'x') + "\r\n",
          .repeated_bytes = endless_bytes,
          .clients = 60}},
        {"a single trailer without end",
         {.begin = std::string(chunked_head) + chunk_of_one + "0\r\nX-Trailer: ",
          .repeated = "x",
          .repeated_bytes = endless_bytes,
          .clients = 60}},
        {"a chunk extension without end",
         {.begin = std::string(chunked_head) + "1;extension=",
          .repeated = "x",
          .repeated_bytes = endless_bytes,
          .clients = 60}},
        {"a chunk extension with each chunk",
         {.begin = chunked_head,
          .repeated = "1;extension=" + std::string(2'000, 'x') + "\r\nx\r\n",
          .repeated_bytes = endless_bytes,
          .clients = 60}},
        {"chunks of one byte, short of their end",
         {.begin = chunked_head,
          .repeated = chunk_of_one,
          .repeated_bytes = 60'000 * chunk_of_one.size(),
          .clients = 200}},
        {"large chunks, short of their end, each from its own address",
         {.begin = chunked_head,
          .repeated = large_chunk,
          .repeated_bytes = 3 * large_chunk.size(),
          .clients = 400,
          .is_each_from_own_address = true}},
        {"bodies with a length, short of their end",
         {.begin = head_with_length(65'536),
          .repeated = "x",
          .repeated_bytes = 65'526,
          .clients = 400,
          .is_each_from_own_address = true}},
        {"an announced length far over the limit",
         {.begin = head_with_length(10'000'000'000),
          .repeated = "x",
          .repeated_bytes = endless_bytes,
          .clients = 60}},
        {"chunks far over the limit",
         {.begin = chunked_head, .repeated = large_chunk, .repeated_bytes = endless_bytes, .clients = 60}},
        {"a head without end",
         {.begin = "GET /again/ HTTP/1.1\r\nHost: cluster.example\r\n",
          .repeated = "X-Field: " + std::string(100, 'x') + "\r\n",
          .repeated_bytes = endless_bytes,
          .clients = 60}},
        {"nothing", {.clients = 400, .is_each_from_own_address = true}},
    };
}

} // namespace postpaddle::test
