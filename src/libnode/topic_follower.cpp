#include <dandeliontack/pause.hpp>
#include <dandeliontack/topic_follower.hpp>

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Pause after a read that failed, so that a store that is away isn't pressed.
constexpr auto failure_pause = 250ms;
// A pause as long as this lets several versions of a record pass by.
constexpr auto long_pause = 100ms;

std::size_t size_of(const std::vector<keyed_record>& records)
{
    return std::transform_reduce(
        records.begin(), records.end(), std::size_t{0}, std::plus<>(),
        [](const keyed_record& r) { return r.key.size() + r.value.size(); });
}

} // namespace

std::chrono::milliseconds
pause_after(std::size_t bytes, const follow_terms& terms)
{
    const double rate = terms.bytes_per_second ? terms.bytes_per_second() : 0;
    if (rate <= 0)
        return terms.interval;
    const std::chrono::duration<double> owed(static_cast<double>(bytes) / rate);
    return std::clamp<std::chrono::milliseconds>(
        std::chrono::round<std::chrono::milliseconds>(owed), terms.interval,
        std::max(terms.interval, terms.longest_pause));
}

topic_follower::topic_follower(
    node_context& context, store_client& store, follow_terms terms,
    record_handler on_record, end_handler on_end)
    : context_(context),
      store_(store),
      terms_(std::move(terms)),
      on_record_(std::move(on_record)),
      on_end_(std::move(on_end))
{}

void topic_follower::stop()
{
    stopped_ = true;
}

void topic_follower::deliver(const keyed_record& record)
{
    if (record.key.empty())
        return;
    if (record.value.empty())
    {
        keys_.erase(record.key);
        on_record_(record);
        return;
    }
    const auto [known, added] = keys_.try_emplace(record.key, record.offset);
    // A page may be older than what was read before.
    if (!added && record.offset <= known->second)
        return;
    known->second = record.offset;
    on_record_(record);
}

// Loads the newest record of each key. Pages are no snapshot, so everything
// from the end that the first page names is read again afterwards.
asio::awaitable<bool> topic_follower::load()
{
    auto before = keys_;
    loaded_bytes_ = 0;
    std::string after;
    std::optional<std::uint64_t> end;
    bool more = true;
    while (more)
    {
        auto page = co_await store_.newest(terms_.place, after);
        if (!page.answered)
            co_return false;
        end = end.value_or(page.end);
        loaded_bytes_ += size_of(page.records);
        for (const auto& record : page.records)
        {
            before.erase(record.key);
            deliver(record);
        }
        more = page.has_more && !page.records.empty();
        if (more)
            after = page.records.back().key;
    }
    for (const auto& [key, offset] : before)
        deliver({key, {}, 0});
    next_ = *end;
    co_return true;
}

asio::awaitable<void> topic_follower::run()
{
    bool loaded = false;
    while (!stopped_)
    {
        if (!loaded)
        {
            loaded = co_await load();
            if (loaded)
                on_end_();
            else
                co_await pause_for(context_.executor, failure_pause);
            continue;
        }
        auto answer = co_await store_.read(terms_.place, next_, terms_.wait);
        if (!answer.answered)
        {
            co_await pause_for(context_.executor, failure_pause);
            continue;
        }
        if (answer.trimmed)
        {
            loaded = false;
            continue;
        }
        for (auto& record : answer.records)
        {
            record.offset = next_++;
            deliver(record);
        }
        const bool at_end = next_ >= answer.end;
        if (at_end)
            on_end_();
        const auto bytes = size_of(answer.records);
        const auto pause = pause_after(
            bytes + (bytes > 0 ? std::exchange(loaded_bytes_, 0) : 0), terms_);
        if (pause > 0ms)
            co_await pause_for(context_.executor, pause);
        loaded = pause == terms_.interval || pause < long_pause;
    }
}

} // namespace dandeliontack
