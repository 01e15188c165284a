// SPDX-License-Identifier: BSD-2-Clause
#include <base/compression.h>

#include <base/verify.h>

#include <zlib.h>

namespace postpaddle::base {

namespace {

/// Size of the output buffer passed to each `inflate` call.
constexpr std::size_t buffer_bytes = 64UL * 1024;

/// zlib takes non-const pointers even for buffers that it only reads.
Bytef* zlib_bytes(std::string_view bytes) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast, cppcoreguidelines-pro-type-const-cast)
    return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

} // namespace

std::string compress(std::string_view bytes) {
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    const int result =
        compress2(zlib_bytes(compressed), &size, zlib_bytes(bytes), bytes.size(), Z_BEST_SPEED);
    // compressBound() covers the worst case, so compress2() can only fail by running out of memory.
    POSTPADDLE_VERIFY(result == Z_OK);
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompress(std::string_view bytes, std::size_t max_bytes) {
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK)
        return std::nullopt;
    stream.next_in = zlib_bytes(bytes);
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string output;
    std::string buffer(buffer_bytes, '\0');
    int result = Z_OK;
    while (result == Z_OK && output.size() <= max_bytes) {
        stream.next_out = zlib_bytes(buffer);
        stream.avail_out = static_cast<uInt>(buffer.size());
        result = inflate(&stream, Z_NO_FLUSH);
        output.append(buffer, 0, buffer.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (result != Z_STREAM_END || output.size() > max_bytes)
        return std::nullopt;
    return output;
}

} // namespace postpaddle::base
