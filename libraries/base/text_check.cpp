// SPDX-License-Identifier: BSD-2-Clause
#include <base/text_check.h>

#include <simdjson.h>

namespace postpaddle::base {

bool is_plain_text(std::string_view text) {
    return !has_control_character(text) && simdjson::validate_utf8(text.data(), text.size());
}

} // namespace postpaddle::base
