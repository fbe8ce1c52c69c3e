// docs/operators/settings.md lists every key that the programs know, and no
// other.

#include <dandeliontack/control_settings.hpp>
#include <dandeliontack/entry_settings.hpp>
#include <dandeliontack/tack_node_settings.hpp>

#include <gtest/gtest.h>

#include <fstream>
#include <regex>
#include <set>

namespace
{

using namespace dandeliontack;
using key_set = std::multiset<std::string>;

// The keys of the tables under these headings.
key_set documented_keys(const std::set<std::string>& headings)
{
    std::ifstream page(TACK_SOURCE_DIR "/docs/operators/settings.md");
    const std::regex row("^\\| `([a-z_]+\\.[a-z_]+)` \\|.*");
    key_set keys;
    bool wanted = false;
    for (std::string line; std::getline(page, line);)
    {
        std::smatch match;
        if (line.starts_with("## "))
            wanted = headings.contains(line.substr(3));
        else if (wanted && std::regex_match(line, match, row))
            keys.insert(match[1]);
    }
    return keys;
}

key_set to_set(const std::vector<std::string>& keys)
{
    return {keys.begin(), keys.end()};
}

TEST(settings_reference, every_key_of_tack_control_is_documented_once)
{
    EXPECT_EQ(
        documented_keys({"All servers", "tack-control"}),
        to_set(control_setting_keys()));
}

TEST(settings_reference, every_key_of_tack_entry_is_documented_once)
{
    EXPECT_EQ(
        documented_keys({"All servers", "tack-entry"}),
        to_set(entry_setting_keys()));
}

TEST(settings_reference, every_key_of_tack_node_is_documented_once)
{
    EXPECT_EQ(documented_keys({"tack-node"}), to_set(tack_node_setting_keys()));
}

} // namespace
