#pragma once

#include <dandeliontack/endpoint.hpp>

#include <cstdint>
#include <memory>

namespace dandeliontack::capacity
{

/// Passes TCP connections on to another address and counts the bytes of both
/// directions. Runs on a thread of its own.
class counting_relay
{
public:
    explicit counting_relay(const endpoint& target);
    ~counting_relay();
    counting_relay(const counting_relay&) = delete;
    counting_relay& operator=(const counting_relay&) = delete;

    /// Where to connect to.
    endpoint address() const;
    std::uint64_t bytes() const;

private:
    struct core;
    std::unique_ptr<core> core_;
};

} // namespace dandeliontack::capacity
