#pragma once

#include <dandeliontack/store_calls.hpp>

#include <cstddef>
#include <vector>

namespace dandeliontack
{

/// The size of a record as the store counts it, key and lengths included.
std::size_t stored_size(const keyed_record& record);

/// Splits records, in their order, into appends of at most `call_bytes` each. A
/// record that is longer than that gets an append of its own.
std::vector<std::vector<keyed_record>>
split_by_size(std::vector<keyed_record> records, std::size_t call_bytes);

} // namespace dandeliontack
