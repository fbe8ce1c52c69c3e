#include <dandeliontack/event_log.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <utility>

namespace dandeliontack
{

namespace
{

constexpr unsigned char first_printable = 0x20;

void put_text(std::string& out, std::string_view text)
{
    out.push_back('"');
    for (const char c : text)
    {
        if (c == '"' || c == '\\')
            out.push_back('\\');
        if (static_cast<unsigned char>(c) < first_printable)
        {
            std::array<char, 8> escaped{};
            std::snprintf(
                escaped.data(), escaped.size(), "\\u%04x",
                static_cast<unsigned>(static_cast<unsigned char>(c)));
            out += escaped.data();
        }
        else
        {
            out.push_back(c);
        }
    }
    out.push_back('"');
}

void put_key(std::string& out, std::string_view key)
{
    out.push_back(',');
    put_text(out, key);
    out.push_back(':');
}

} // namespace

log_line& log_line::add(std::string_view key, std::string_view value)
{
    put_key(members_, key);
    put_text(members_, value);
    return *this;
}

log_line& log_line::add(std::string_view key, const char* value)
{
    return add(key, std::string_view(value));
}

log_line& log_line::add(std::string_view key, std::int64_t value)
{
    put_key(members_, key);
    members_ += std::to_string(value);
    return *this;
}

log_line& log_line::add(std::string_view key, std::uint64_t value)
{
    put_key(members_, key);
    members_ += std::to_string(value);
    return *this;
}

log_line& log_line::add(std::string_view key, std::uint32_t value)
{
    return add(key, std::uint64_t{value});
}

log_line& log_line::add(std::string_view key, bool value)
{
    put_key(members_, key);
    members_ += value ? "true" : "false";
    return *this;
}

const std::string& log_line::members() const
{
    return members_;
}

event_log::event_log(std::string node, int descriptor, limits bounds)
    : node_(std::move(node)), descriptor_(descriptor), limits_(bounds)
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void event_log::write(
    std::string_view part, std::string_view event, const log_line& line)
{
    using namespace std::chrono;
    const auto now =
        floor<milliseconds>(system_clock::now()).time_since_epoch().count();
    constexpr std::int64_t milliseconds_per_second = 1000;
    const auto second = now / milliseconds_per_second;
    auto found = budgets_.find(event);
    if (found == budgets_.end())
        found = budgets_.emplace(std::string(event), budget{}).first;
    auto& of_event = found->second;
    if (of_event.second != second)
    {
        const auto left_out = std::exchange(of_event.left_out, 0);
        of_event.second = second;
        of_event.lines = 0;
        if (left_out > 0)
            write(
                "log", "lines_left_out",
                log_line().add("of", event).add("lines", left_out));
    }
    if (++of_event.lines > limits_.lines_per_second)
    {
        ++of_event.left_out;
        return;
    }
    std::string text = "{\"time_ms\":" + std::to_string(now) + ",\"node\":";
    put_text(text, node_);
    text += ",\"part\":";
    put_text(text, part);
    text += ",\"event\":";
    put_text(text, event);
    text += line.members();
    text += "}\n";
    if (waiting_.size() + text.size() > limits_.buffer_bytes)
    {
        ++dropped_;
        return;
    }
    waiting_ += text;
}

void event_log::flush()
{
    while (!waiting_.empty())
    {
        const auto written =
            ::write(descriptor_, waiting_.data(), waiting_.size());
        if (written <= 0)
            return;
        waiting_.erase(0, static_cast<std::size_t>(written));
    }
}

bool event_log::has_waiting() const
{
    return !waiting_.empty();
}

std::uint64_t event_log::dropped() const
{
    return dropped_;
}

} // namespace dandeliontack
