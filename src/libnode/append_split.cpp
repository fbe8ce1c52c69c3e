#include <dandeliontack/append_split.hpp>

#include <platform/store_codec.hpp>

#include <utility>

namespace dandeliontack
{

std::size_t stored_size(const keyed_record& record)
{
    return platform::record_size(record);
}

std::vector<std::vector<keyed_record>>
split_by_size(std::vector<keyed_record> records, std::size_t call_bytes)
{
    std::vector<std::vector<keyed_record>> calls;
    std::size_t size = 0;
    for (auto& record : records)
    {
        const auto bytes = stored_size(record);
        if (calls.empty() || size + bytes > call_bytes)
        {
            calls.emplace_back();
            size = 0;
        }
        size += bytes;
        calls.back().push_back(std::move(record));
    }
    return calls;
}

} // namespace dandeliontack
