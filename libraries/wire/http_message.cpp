// SPDX-License-Identifier: BSD-2-Clause
#include <wire/http_message.h>

#include <boost/algorithm/string/predicate.hpp>

namespace postpaddle::wire {

std::string_view find_header(const http_headers& headers, std::string_view name) {
    for (const http_header& header : headers)
        if (boost::algorithm::iequals(header.name, name))
            return header.value;
    return {};
}

} // namespace postpaddle::wire
