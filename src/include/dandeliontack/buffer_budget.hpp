#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace dandeliontack
{

class buffer_share;

/// What a connection holds its bytes for.
enum class buffer_share_state
{
    idle,
    /// A message is arriving.
    incomplete,
    /// The message is being served.
    complete,
    /// The response is being written.
    responding,
    /// It had to give way, and its bytes are not free yet.
    given_up
};

/// Bounds the bytes that all connections of a server or client hold together
/// for messages that senders outside of our control may make large or slow.
/// Where the bytes run short it gives way in this order: new connections, then
/// the incomplete messages that have held most bytes for longest, measured by
/// the product of both, then in the same way the responses that are being
/// written, as their readers are slow. Requests that are being served keep
/// their bytes. For one thread.
class buffer_budget
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit buffer_budget(std::uint64_t limit_bytes) : limit_(limit_bytes) {}
    buffer_budget(const buffer_budget&) = delete;
    buffer_budget& operator=(const buffer_budget&) = delete;

    /// Whether a new connection may be opened. Where it may not, incomplete
    /// messages make room for later ones.
    bool admits_connection(time_point now);

    void set_limit(std::uint64_t limit_bytes)
    {
        limit_ = limit_bytes;
    }
    std::uint64_t limit() const
    {
        return limit_;
    }
    std::uint64_t held() const
    {
        return held_;
    }

private:
    friend class buffer_share;

    void shed(time_point now);
    // Lets the shares in `from` give up until `wanted` bytes are held.
    void
    shed_from(buffer_share_state from, std::uint64_t wanted, time_point now);

    std::uint64_t limit_;
    std::uint64_t held_ = 0;
    // Of shares that have given up and are not released yet.
    std::uint64_t leaving_ = 0;
    std::list<buffer_share*> shares_;
};

/// What one connection holds of a budget.
class buffer_share
{
public:
    using time_point = buffer_budget::time_point;

    /// `give_up` is called when the connection's incomplete message has to
    /// give way; it must not use the budget.
    buffer_share(
        std::shared_ptr<buffer_budget> budget, std::function<void()> give_up);
    ~buffer_share();
    buffer_share(const buffer_share&) = delete;
    buffer_share& operator=(const buffer_share&) = delete;

    /// A message begins to arrive.
    void begin(time_point now);
    /// How many bytes the connection is about to hold. May make this or other
    /// shares give up. Returns whether these bytes are free by now.
    bool hold(std::uint64_t bytes, time_point now);
    /// Whether shares that had to give up for others have released enough.
    bool has_room() const;
    /// The message is complete: it no longer gives way.
    void complete();
    /// A response begins to be written; it gives way after all that is
    /// incomplete.
    void respond(time_point now);
    /// Nothing is held any more.
    void release();

    /// Whether the message that began last had to give way. Its bytes are free
    /// once it is released.
    bool has_given_up() const
    {
        return state_ == buffer_share_state::given_up;
    }

private:
    friend class buffer_budget;

    void set_bytes(std::uint64_t bytes);
    void give_up();

    std::shared_ptr<buffer_budget> budget_;
    std::function<void()> end_message_;
    std::list<buffer_share*>::iterator place_;
    std::uint64_t bytes_ = 0;
    time_point since_;
    buffer_share_state state_ = buffer_share_state::idle;
};

} // namespace dandeliontack
