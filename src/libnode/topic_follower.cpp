#include <dandeliontack/pause.hpp>
#include <dandeliontack/topic_follower.hpp>

#include <utility>

namespace dandeliontack
{

namespace asio = boost::asio;

namespace
{

using namespace std::chrono_literals;

// Pause after a read that failed, so that a store that is away isn't pressed.
constexpr auto failure_pause = 250ms;

} // namespace

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
        keys_.erase(record.key);
    else
        keys_.insert(record.key);
    on_record_(record);
}

// Loads the newest record of each key. Pages are no snapshot, so everything
// from the end that the first page names is read again afterwards.
asio::awaitable<bool> topic_follower::load()
{
    std::set<std::string> before = keys_;
    std::string after;
    std::optional<std::uint64_t> end;
    bool more = true;
    while (more)
    {
        auto page = co_await store_.newest(terms_.place, after);
        if (!page.answered)
            co_return false;
        end = end.value_or(page.end);
        for (const auto& record : page.records)
        {
            before.erase(record.key);
            deliver(record);
        }
        more = page.has_more && !page.records.empty();
        if (more)
            after = page.records.back().key;
    }
    for (const auto& key : before)
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
        for (const auto& record : answer.records)
            deliver(record);
        next_ += answer.records.size();
        if (next_ >= answer.end)
            on_end_();
        if (terms_.interval > 0ms)
            co_await pause_for(context_.executor, terms_.interval);
    }
}

} // namespace dandeliontack
