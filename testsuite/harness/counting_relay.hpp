#pragma once

#include <dandeliontack/endpoint.hpp>

#include <cstdint>
#include <memory>

namespace dandeliontack::harness
{

/// Passes TCP connections on to another address and counts the bytes of both
/// directions. Runs on a thread of its own.
class counting_relay
{
public:
    /// `bytes_per_second` is what all connections together may receive from the
    /// target, as on a narrow link; 0 for no limit.
    explicit counting_relay(
        const endpoint& target, std::uint64_t bytes_per_second = 0);
    ~counting_relay();
    counting_relay(const counting_relay&) = delete;
    counting_relay& operator=(const counting_relay&) = delete;

    /// Where to connect to.
    endpoint address() const;
    std::uint64_t bytes() const;
    /// While the link is cut, nothing passes in either direction and no
    /// connection ends.
    void set_cut(bool is_cut);

private:
    struct core;
    std::unique_ptr<core> core_;
};

} // namespace dandeliontack::harness
