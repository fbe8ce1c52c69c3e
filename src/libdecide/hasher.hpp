#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <deque>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace dandeliontack
{

/// FNV-1a over a canonical form of the values fed to it: integers as eight
/// bytes, texts and containers led by their length.
class hasher
{
public:
    template <std::integral Integer>
    void add(Integer value)
    {
        add_word(static_cast<std::uint64_t>(value));
    }
    template <class Enum>
        requires std::is_enum_v<Enum>
    void add(Enum value)
    {
        add_word(static_cast<std::uint64_t>(value));
    }
    template <class Rep, class Period>
    void add(std::chrono::duration<Rep, Period> value)
    {
        add_word(static_cast<std::uint64_t>(value.count()));
    }
    void add(std::string_view text)
    {
        add_word(text.size());
        for (const char c : text)
            add_byte(static_cast<unsigned char>(c));
    }
    template <class First, class Second>
    void add(const std::pair<First, Second>& value)
    {
        add_value(value.first);
        add_value(value.second);
    }
    template <class Range>
    void add_range(const Range& range)
    {
        add_word(range.size());
        for (const auto& item : range)
            add_value(item);
    }

    std::uint64_t digest() const
    {
        return hash_;
    }

private:
    template <class Value>
    void add_value(const Value& value)
    {
        if constexpr (requires { this->add(value); })
            add(value);
        else
            feed(*this, value);
    }
    void add_word(std::uint64_t word)
    {
        for (unsigned shift = 0; shift < 64; shift += 8)
            add_byte(static_cast<unsigned char>(word >> shift));
    }
    void add_byte(unsigned char byte)
    {
        constexpr std::uint64_t prime = 0x100000001b3;
        hash_ = (hash_ ^ byte) * prime;
    }

    std::uint64_t hash_ = 0xcbf29ce484222325;
};

} // namespace dandeliontack
