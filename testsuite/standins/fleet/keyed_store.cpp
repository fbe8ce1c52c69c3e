#include "keyed_store.hpp"

#include <absl/strings/escaping.h>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace dandeliontack::standins
{

namespace json = boost::json;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t remembered_answers = 5;
constexpr std::size_t max_record_bytes = 256 * 1024;
constexpr std::size_t max_call_bytes = 2 * 1024 * 1024;
constexpr std::uint64_t default_read_kb = 1024;

std::uint64_t number(const std::string& target, std::string_view name)
{
    const auto text = query_value(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http_response answer(http::status status, const json::object& body)
{
    return make_response(status, "application/json", json::serialize(body));
}

// The bytes of a part of a query.
std::string unescape(std::string_view text)
{
    constexpr int hexadecimal = 16;
    std::string out;
    while (!text.empty())
    {
        unsigned char byte = static_cast<unsigned char>(text.front());
        std::size_t length = 1;
        if (byte == '%' && text.size() > 2)
        {
            std::from_chars(
                text.data() + 1, text.data() + 3, byte, hexadecimal);
            length = 3;
        }
        out.push_back(static_cast<char>(byte));
        text.remove_prefix(length);
    }
    return out;
}

template <class Integer>
void put_number(std::string& out, Integer value)
{
    const auto big = boost::endian::native_to_big(value);
    out.append(reinterpret_cast<const char*>(&big), sizeof big);
}

} // namespace

keyed_store::partition& keyed_store::place(const std::string& target)
{
    return partitions_
        [query_value(target, "topic") + "/" + query_value(target, "part")];
}

void keyed_store::refuse_keys(std::string prefix)
{
    refused_prefix_ = std::move(prefix);
}

// Whether the records keep to the store's limits.
bool keyed_store::is_valid(std::string_view body) const
{
    if (body.size() > max_call_bytes)
        return false;
    while (body.size() > sizeof(std::uint32_t))
    {
        std::uint32_t size = 0;
        std::copy_n(body.data(), sizeof size, reinterpret_cast<char*>(&size));
        size = boost::endian::big_to_native(size);
        if (size > max_record_bytes || size + sizeof size > body.size())
            return false;
        const auto key = body.substr(sizeof size + 1);
        if (!refused_prefix_.empty() && key.starts_with(refused_prefix_))
            return false;
        body.remove_prefix(sizeof size + size);
    }
    return body.empty();
}

http_response keyed_store::append(const http_request& request)
{
    const std::string target(request.target());
    if (!is_valid(request.body()))
        return answer(http::status::bad_request, {{"reason", "size"}});
    auto& part = place(target);
    const auto producer = query_value(target, "producer");
    const auto sequence = number(target, "sequence");
    if (!producer.empty())
    {
        auto& writer = part.writers[producer];
        const auto epoch = number(target, "epoch");
        if (epoch < writer.epoch)
            return answer(http::status::conflict, {{"reason", "fenced"}});
        if (epoch > writer.epoch)
            writer = {epoch, sequence - 1, {}};
        for (const auto& [old, body] : writer.answers)
            if (old == sequence)
                return make_response(
                    http::status::ok, "application/json", body);
        if (sequence != writer.sequence + 1)
            return answer(
                http::status::conflict,
                {{"reason", "seq"}, {"sequence", writer.sequence + 1}});
        writer.sequence = sequence;
    }
    const auto at = query_value(target, "at");
    if (!at.empty() && number(target, "at") != part.records.size())
        return answer(
            http::status::precondition_failed,
            {{"endOffset", part.records.size()}});
    const auto offset = part.records.size();
    std::string_view body = request.body();
    while (body.size() > sizeof(std::uint32_t))
    {
        std::uint32_t size = 0;
        std::copy_n(body.data(), sizeof size, reinterpret_cast<char*>(&size));
        size = boost::endian::big_to_native(size);
        const auto content = body.substr(sizeof size, size);
        const auto key = static_cast<unsigned char>(content.front());
        part.records.push_back(
            {std::string(content.substr(1, key)),
             std::string(content.substr(1 + key))});
        body.remove_prefix(sizeof size + size);
    }
    const auto text = json::serialize(
        json::object{{"offset", offset}, {"endOffset", part.records.size()}});
    if (!producer.empty())
    {
        auto& answers = part.writers[producer].answers;
        answers.emplace_back(sequence, text);
        if (answers.size() > remembered_answers)
            answers.pop_front();
    }
    return make_response(http::status::ok, "application/json", text);
}

std::optional<http_response> keyed_store::read(const http_request& request)
{
    const std::string target(request.target());
    const auto& part = place(target);
    const auto from = number(target, "from");
    if (from >= part.records.size() && number(target, "waitMs") > 0)
        return std::nullopt;
    const auto max_kb = number(target, "maxKb");
    const auto max_bytes = (max_kb > 0 ? max_kb : default_read_kb) * 1024;
    std::string body;
    put_number(body, std::uint64_t{part.records.size()});
    put_number(body, std::uint64_t{0});
    for (auto i = from; i < part.records.size(); ++i)
    {
        const auto& item = part.records[i];
        // A record that is larger than that comes alone.
        if (i > from && body.size() + item.value.size() > max_bytes)
            break;
        put_number(
            body, static_cast<std::uint32_t>(
                      1 + item.key.size() + item.value.size()));
        body.push_back(static_cast<char>(item.key.size()));
        body += item.key + item.value;
    }
    return make_response(
        http::status::ok, "application/octet-stream", std::move(body));
}

http_response keyed_store::newest(const http_request& request)
{
    const auto& part = place(std::string(request.target()));
    std::map<std::string, std::pair<std::size_t, const record*>> keys;
    for (std::size_t i = 0; i < part.records.size(); ++i)
    {
        const auto& item = part.records[i];
        if (item.value.empty())
            keys.erase(item.key);
        else
            keys[item.key] = {i, &item};
    }
    const auto after =
        unescape(query_value(std::string(request.target()), "after"));
    json::array items;
    auto at = keys.upper_bound(after);
    for (; at != keys.end() && items.size() < items_per_page_; ++at)
        items.push_back(
            {{"key", at->first},
             {"value", absl::Base64Escape(at->second.second->value)},
             {"offset", at->second.first}});
    return answer(
        http::status::ok, {{"items", std::move(items)},
                           {"hasMore", at != keys.end()},
                           {"endOffset", part.records.size()}});
}

void keyed_store::put(
    const std::string& topic, std::string key, std::string value)
{
    partitions_[topic + "/0"].records.push_back(
        {std::move(key), std::move(value)});
}

std::vector<std::string>
keyed_store::history(const std::string& topic, const std::string& key) const
{
    std::vector<std::string> out;
    const auto found = partitions_.find(topic + "/0");
    if (found != partitions_.end())
        for (const auto& item : found->second.records)
            if (item.key == key)
                out.push_back(item.value);
    return out;
}

} // namespace dandeliontack::standins
