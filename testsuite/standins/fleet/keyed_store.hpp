#pragma once

#include <dandeliontack/http.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandeliontack::standins
{

/// Topics of records with keys, with conditions on the end, and with epochs
/// that fence writers. Answers the log calls of the platform's store.
class keyed_store
{
public:
    /// `items_per_page` is the most records that a list of the newest has.
    explicit keyed_store(std::size_t items_per_page)
        : items_per_page_(items_per_page)
    {}

    http_response append(const http_request& request);
    /// From now on appends with a key that begins so are refused for good; none
    /// if empty.
    void refuse_keys(std::string prefix);
    /// Nothing while there is no record at the offset that is asked for.
    std::optional<http_response> read(const http_request& request);
    http_response newest(const http_request& request);

    void put(const std::string& topic, std::string key, std::string value);
    /// Everything that was ever written under a key, oldest first.
    std::vector<std::string>
    history(const std::string& topic, const std::string& key) const;

private:
    struct record
    {
        std::string key;
        std::string value;
    };
    struct writer
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::deque<std::pair<std::uint64_t, std::string>> answers;
    };
    struct partition
    {
        std::vector<record> records;
        std::map<std::string, writer> writers;
    };

    partition& place(const std::string& target);
    bool is_valid(std::string_view body) const;

    std::map<std::string, partition> partitions_;
    std::string refused_prefix_;
    std::size_t items_per_page_;
};

} // namespace dandeliontack::standins
