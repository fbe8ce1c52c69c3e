// Tests topic_follower against a fake store that counts the records it sends.

#include "local_store.hpp"
#include "node_fixture.hpp"
#include <dandeliontack/topic_follower.hpp>

#include <absl/strings/escaping.h>
#include <boost/asio.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <map>
#include <optional>

namespace dandeliontack
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

constexpr std::size_t record_bytes = 100'000;
constexpr int versions = 40;

void put_number(std::string& out, std::uint64_t value, int bytes)
{
    for (int i = bytes - 1; i >= 0; --i)
        out += static_cast<char>(value >> (8U * static_cast<unsigned>(i)));
}

void put_record(
    std::string& out, const std::string& key, const std::string& value)
{
    put_number(out, 1 + key.size() + value.size(), 4);
    put_number(out, key.size(), 1);
    out += key + value;
}

std::uint64_t offset_in(const std::string& target)
{
    return std::stoull(target.substr(target.find("from=") + 5));
}

// Holds one key that is rewritten with each request, so that a follower is
// always behind until the last version.
class rewriting_store : public test::local_store
{
public:
    using local_store::local_store;

    int end = 1;
    int sent = 0;

private:
    static std::string value_of(int version)
    {
        auto value = std::to_string(version) + ";";
        value.resize(record_bytes, 'x');
        return value;
    }

    http_response answer(const std::string& target) override
    {
        // Five versions are written between two requests.
        end = std::min(end + 5, versions);
        if (target.starts_with("/log-newest"))
        {
            ++sent;
            const json::object item{
                {"key", "config"},
                {"value", absl::Base64Escape(value_of(end - 1))},
                {"offset", end - 1}};
            return make_response(
                http::status::ok, "application/json",
                json::serialize(json::object{
                    {"items", json::array{item}},
                    {"hasMore", false},
                    {"endOffset", end}}));
        }
        std::string body;
        put_number(body, static_cast<std::uint64_t>(end), 8);
        put_number(body, 0, 8);
        for (int i = static_cast<int>(offset_in(target)); i < end; ++i, ++sent)
            put_record(body, "config", value_of(i));
        return make_response(
            http::status::ok, "application/octet-stream", std::move(body));
    }
};

// Lists three records, one a page, and refuses every other request.
class paged_store : public test::local_store
{
public:
    using local_store::local_store;

    int requests = 0;

private:
    http_response answer(const std::string& target) override
    {
        if (requests++ % 2 == 0)
            return make_response(
                http::status::too_many_requests, "text/plain", {});
        const auto at = target.find("after=");
        const auto number =
            at == std::string::npos ? 0 : std::stoi(target.substr(at + 6)) + 1;
        json::object item{
            {"key", std::to_string(number)},
            {"value", "YQ=="},
            {"offset", number}};
        json::object page{
            {"items", json::array{std::move(item)}},
            {"hasMore", number < 2},
            {"endOffset", 3}};
        return make_response(
            http::status::ok, "application/json", json::serialize(page));
    }
};

// Holds these records; the list of the newest says that it ends at
// `listed_end`, as if later records had been written while it was made.
class recorded_store : public test::local_store
{
public:
    using local_store::local_store;

    std::vector<keyed_record> records;
    std::optional<std::uint64_t> listed_end;
    int sent = 0;
    /// Reads that returned nothing.
    int idle_reads = 0;

private:
    http_response answer(const std::string& target) override
    {
        return target.starts_with("/log-newest") ? list() : read(target);
    }

    http_response list()
    {
        std::map<std::string, keyed_record> newest;
        for (const auto& record : records)
            newest[record.key] = record;
        json::array items;
        for (const auto& [key, record] : newest)
        {
            if (record.value.empty())
                continue;
            ++sent;
            items.push_back(
                {{"key", key},
                 {"value", absl::Base64Escape(record.value)},
                 {"offset", record.offset}});
        }
        return make_response(
            http::status::ok, "application/json",
            json::serialize(json::object{
                {"items", std::move(items)},
                {"hasMore", false},
                {"endOffset", listed_end.value_or(records.size())}}));
    }

    http_response read(const std::string& target)
    {
        std::string body;
        put_number(body, records.size(), 8);
        put_number(body, 0, 8);
        const auto from = offset_in(target);
        idle_reads += from >= records.size() ? 1 : 0;
        for (auto i = from; i < records.size(); ++i, ++sent)
            put_record(body, records[i].key, records[i].value);
        return make_response(
            http::status::ok, "application/octet-stream", std::move(body));
    }
};

class topic_follower_test : public test::node_fixture
{
protected:
    topic_follower_test()
    {
        settings_.store.address = store.address;
    }

    // Follows the topic until the last version is delivered; returns the number
    // of versions delivered.
    int follow(follow_options options)
    {
        int delivered = 0;
        int newest = -1;
        topic_follower follower(
            node_, client_, std::move(options),
            [&](const keyed_record& record) {
                ++delivered;
                const int version = std::stoi(record.value);
                EXPECT_GT(version, newest);
                newest = version;
            },
            [](boot_time) {});
        run_until(follower, [&] { return newest == versions - 1; });
        return delivered;
    }

    // Runs the follower until the condition holds, and to its end.
    void
    run_until(topic_follower& follower, const std::function<bool()>& condition)
    {
        bool ended = false;
        asio::co_spawn(
            context_, follower.run(),
            [&](const std::exception_ptr&) { ended = true; });
        while (!condition())
            context_.run_one();
        follower.stop();
        while (!ended)
            context_.run_one();
    }

    rewriting_store store{context_};
    store_client client_{node_};
};

} // namespace

// Guards against overload of the store: a large configuration was written five
// times a second and 147 nodes read each version, which exceeded the store's
// read capacity. Found on bench day trouble-2 of teranga-jobs-large.
TEST_F(topic_follower_test, limited_read_rate_skips_superseded_versions)
{
    const auto all = follow({{"keyed.op", 0}, {}, 0ms, 0ms, {}});
    EXPECT_EQ(all, versions - 5);
    const int sent_without_limit = store.sent;
    store.end = 1;
    store.sent = 0;
    const auto limited =
        follow({{"keyed.op", 0}, {}, 0ms, 150ms, [] { return 1e5; }});
    EXPECT_LT(limited, all);
    EXPECT_LT(store.sent, sent_without_limit);
}

// Guards against loads that begin anew with each failed page: a store that
// answers every other call would never get to the last page.
TEST_F(topic_follower_test, load_goes_on_with_the_page_that_failed)
{
    paged_store paged(context_);
    settings_.store.address = paged.address;
    store_client client(node_);
    std::vector<std::string> keys;
    bool caught_up = false;
    topic_follower follower(
        node_, client, {{"keyed.servers", 0}, {}, 0ms, 0ms, {}},
        [&](const keyed_record& record) { keys.push_back(record.key); },
        [&](boot_time) {
            caught_up = true;
            follower.stop();
        });
    run_until(follower, [&] { return caught_up; });
    EXPECT_EQ(keys, (std::vector<std::string>{"0", "1", "2"}));
    EXPECT_EQ(paged.requests, 6);
}

// Guards against reading a record again that is in force already: after each
// large record the whole topic was listed, more bytes than the record itself.
TEST_F(topic_follower_test, record_in_force_is_not_read_again)
{
    recorded_store recorded(context_);
    recorded.records = {{"config", "1", 0}};
    settings_.store.address = recorded.address;
    store_client client(node_);
    std::vector<std::string> values;
    topic_follower follower(
        node_, client, {{"keyed.op", 0}, {}, 0ms, 150ms, [] { return 1e5; }},
        [&](const keyed_record& record) {
            values.push_back(record.value.substr(0, 1));
            if (recorded.records.size() < 4)
                recorded.records.push_back(
                    {"config",
                     std::to_string(recorded.records.size() + 1) +
                         std::string(record_bytes, 'x'),
                     recorded.records.size()});
        },
        [](boot_time) {});
    run_until(follower, [&] { return recorded.idle_reads >= 3; });
    EXPECT_EQ(values, (std::vector<std::string>{"1", "2", "3", "4"}));
    EXPECT_EQ(recorded.sent, 4);
}

// Guards against going back to an older state: the list held a key that had
// been deleted and written again after the offset where the list ended, and the
// log from there on deleted it once more.
TEST_F(topic_follower_test, deletion_before_what_was_listed_is_passed_over)
{
    recorded_store recorded(context_);
    recorded.records = {
        {"host", "old", 0},
        {"host", "", 1},
        {"host", "new", 2},
        {"end", "", 3}};
    recorded.listed_end = 1;
    settings_.store.address = recorded.address;
    store_client client(node_);
    std::vector<std::string> changes;
    topic_follower follower(
        node_, client, {{"keyed.servers", 0}, {}, 0ms, 0ms, {}},
        [&](const keyed_record& record) {
            changes.push_back(record.key + "=" + record.value);
        },
        [](boot_time) {});
    run_until(follower, [&] { return recorded.idle_reads >= 1; });
    EXPECT_EQ(changes, (std::vector<std::string>{"host=new", "end="}));
}

// Guards against an old answer that counts as a new one: a record may have been
// published while a response without records was on its way.
TEST(end_known_at, response_that_was_delayed_tells_of_its_wait_only)
{
    const boot_time sent(1h);
    EXPECT_EQ(end_known_at(sent, 800ms, sent + 1700ms), sent + 800ms);
    EXPECT_EQ(end_known_at(sent, 800ms, sent + 300ms), sent + 300ms);
    EXPECT_EQ(end_known_at(sent, 0ms, sent + 300ms), sent);
}

TEST(pause_after, time_of_the_read_counts)
{
    const follow_options options{{}, {}, 10ms, 600ms, [] { return 1e6; }};
    EXPECT_EQ(pause_after(200'000, 150ms, options), 50ms);
    EXPECT_EQ(pause_after(200'000, 300ms, options), 10ms);
    EXPECT_EQ(pause_after(5'000'000, 150ms, options), 600ms);
}

TEST(pause_after, pause_grows_with_bytes_up_to_maximum)
{
    const follow_options options{{}, {}, 10ms, 600ms, [] { return 1e6; }};
    EXPECT_EQ(pause_after(0, 0ms, options), 10ms);
    EXPECT_EQ(pause_after(200'000, 0ms, options), 200ms);
    EXPECT_EQ(pause_after(5'000'000, 0ms, options), 600ms);
}

} // namespace dandeliontack
