#include <dandeliontack/pause.hpp>
#include <dandeliontack/topic_follower.hpp>

#include <algorithm>
#include <functional>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Pause after a failed call, so as not to load a store that is unavailable.
constexpr auto failure_pause = 250ms;

std::size_t size_of(const std::vector<keyed_record>& records)
{
    return std::transform_reduce(
        records.begin(), records.end(), std::size_t{0}, std::plus<>(),
        [](const keyed_record& r) { return r.key.size() + r.value.size(); });
}

} // namespace

std::chrono::milliseconds pause_after(
    std::size_t bytes, std::chrono::milliseconds spent,
    const follow_options& options)
{
    const double rate =
        options.bytes_per_second ? options.bytes_per_second() : 0;
    if (rate <= 0)
        return options.interval;
    const std::chrono::duration<double> required(
        static_cast<double>(bytes) / rate);
    return std::clamp<std::chrono::milliseconds>(
        std::chrono::round<std::chrono::milliseconds>(required) - spent,
        options.interval, std::max(options.interval, options.max_pause));
}

boot_time
end_known_at(boot_time sent, std::chrono::milliseconds wait, boot_time answered)
{
    return std::min(answered, sent + wait);
}

topic_follower::topic_follower(
    node_context& context, store_client& store, follow_options options,
    record_handler on_record, caught_up_handler on_caught_up)
    : context_(context),
      store_(store),
      options_(std::move(options)),
      on_record_(std::move(on_record)),
      on_caught_up_(std::move(on_caught_up)),
      hurry_signal_(context.executor)
{}

void topic_follower::stop()
{
    stopped_ = true;
}

void topic_follower::read_soon()
{
    hurried_ = true;
    hurry_signal_.notify();
}

bool topic_follower::is_loading() const
{
    return !loaded_;
}

void topic_follower::deliver(const keyed_record& record)
{
    if (record.key.empty())
        return;
    // A page of a load may hold an older version than one read before, and the
    // log from its end on may hold older ones than the page.
    const auto known = keys_.find(record.key);
    if (known != keys_.end() && record.offset <= known->second)
        return;
    if (record.value.empty())
        keys_.erase(record.key);
    else
        keys_[record.key] = record.offset;
    on_record_(record);
}

void topic_follower::remove(const std::string& key)
{
    keys_.erase(key);
    on_record_({key, {}, 0});
}

// Loads the newest record of each key. The pages are not a consistent snapshot,
// so reading resumes at the end offset that the first page reported.
asio::awaitable<void> topic_follower::load()
{
    auto missing = keys_;
    loaded_bytes_ = 0;
    std::string after;
    std::optional<std::uint64_t> end;
    bool more = true;
    while (more && !stopped_)
    {
        auto page = co_await store_.newest(options_.place, after);
        // The pages before are kept: a busy store would never get to the last
        // one if each failure began with the first again.
        if (!page.answered)
        {
            co_await pause_for(context_.executor, failure_pause);
            continue;
        }
        end = end.value_or(page.end);
        loaded_bytes_ += size_of(page.records);
        for (const auto& record : page.records)
        {
            missing.erase(record.key);
            deliver(record);
        }
        more = page.has_more && !page.records.empty();
        if (more)
            after = page.records.back().key;
    }
    if (more)
        co_return;
    for (const auto& [key, offset] : missing)
        remove(key);
    next_ = end.value_or(next_);
}

asio::awaitable<void> topic_follower::run()
{
    loaded_ = false;
    while (!stopped_)
    {
        if (loaded_)
        {
            co_await read();
            continue;
        }
        read_began_ = read_clocks().steady;
        co_await load();
        loaded_ = true;
        if (!stopped_)
            on_caught_up_(read_began_);
    }
}

asio::awaitable<void> topic_follower::read()
{
    // A load belongs to the read that follows it.
    const auto sent = read_clocks().steady;
    hurried_ = false;
    if (loaded_bytes_ == 0)
        read_began_ = sent;
    auto answer = co_await store_.read(options_.place, next_, options_.reads);
    if (!answer.answered)
    {
        co_await pause_for(context_.executor, failure_pause);
        co_return;
    }
    if (answer.trimmed)
    {
        loaded_ = false;
        co_return;
    }
    const auto bytes = size_of(answer.records);
    const bool is_behind = deliver_all(std::move(answer), sent);
    const auto spent = read_clocks().steady - read_began_;
    const auto pause = pause_after(
        bytes + (bytes > 0 ? std::exchange(loaded_bytes_, 0) : 0), spent,
        options_);
    if (pause > 0ms && !hurried_)
        co_await hurry_signal_.wait(pause);
    const bool may_skip =
        options_.reads.most_kb > 0 || pause > options_.interval;
    loaded_ = !is_behind || !may_skip;
}

bool topic_follower::deliver_all(read_answer answer, boot_time sent)
{
    std::set<std::string_view> keys;
    for (auto& record : answer.records)
    {
        record.offset = next_++;
        deliver(record);
        keys.insert(record.key);
    }
    if (next_ >= answer.end)
        on_caught_up_(
            answer.records.empty()
                ? end_known_at(sent, options_.reads.wait, read_clocks().steady)
                : sent);
    const bool several_left = answer.end > next_ + 1;
    return several_left || keys.size() < answer.records.size();
}

} // namespace dandeliontack
