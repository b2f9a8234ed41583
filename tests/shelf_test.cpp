#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "hold/shelf.hpp"

#include <CppUTest/TestHarness.h>

using namespace wharf;
namespace fs = std::filesystem;

TEST_GROUP(Shelf) {
  std::string folder;
  void setup() override {
    char pattern[] = "/tmp/shelf-XXXXXX";
    folder = mkdtemp(pattern);
  }
  void teardown() override { fs::remove_all(folder); }

  void write_entries(std::uint64_t from, std::uint64_t to) {
    DiskShelf shelf(folder);
    CHECK(std::holds_alternative<Recovered>(shelf.open()));
    for (std::uint64_t index = from; index <= to; ++index) {
      Save save;
      save.hard = HardState{9, 3, 7};
      save.append.push_back({index, 3, 1, "body " + std::to_string(index)});
      CHECK(std::holds_alternative<std::monostate>(shelf.write(save)));
    }
  }
  std::string newest_segment() {
    std::string best;
    std::uintmax_t best_number = 0;
    for (const auto &item : fs::directory_iterator(folder)) {
      const std::string name = item.path().filename();
      if (!name.starts_with("seg-") || fs::file_size(item.path()) < 20) continue;
      if (const std::uintmax_t number = std::stoul(name.substr(4)); number >= best_number) {
        best_number = number;
        best = item.path();
      }
    }
    return best;
  }
  std::size_t entries_found() {
    DiskShelf shelf(folder);
    auto opened = shelf.open();
    const auto *recovered = std::get_if<Recovered>(&opened);
    return recovered == nullptr ? 9999 : recovered->entries.size();
  }
};

TEST(Shelf, what_was_written_is_read_back) {
  write_entries(1, 5);
  write_entries(6, 8);
  DiskShelf shelf(folder);
  const Recovered recovered = std::get<Recovered>(shelf.open());
  LONGS_EQUAL(8, recovered.entries.size());
  STRCMP_EQUAL("body 8", recovered.entries.back().body.c_str());
  CHECK(recovered.hard == (HardState{9, 3, 7}));
}

TEST(Shelf, a_tail_cut_anywhere_loses_only_the_torn_record) {
  write_entries(1, 5);
  const std::string path = newest_segment();
  const auto size = fs::file_size(path);
  const std::string copy = folder + "/kept";
  fs::copy_file(path, copy);
  std::size_t least = 5;
  for (std::uintmax_t cut = size; cut > size - 40; --cut) {
    for (const auto &item : fs::directory_iterator(folder))
      if (item.path() != copy && item.path().filename().string().starts_with("seg-")) fs::remove(item.path());
    fs::copy_file(copy, path, fs::copy_options::overwrite_existing);
    fs::resize_file(path, cut);
    const std::size_t found = entries_found();
    CHECK(found == 5 || found == 4);
    least = std::min(least, found);
  }
  CHECK(least < 5);
}

TEST(Shelf, a_damaged_middle_is_an_error_and_never_skipped) {
  write_entries(1, 5);
  const std::string path = newest_segment();
  std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(100);
  file.put('#');
  file.close();
  DiskShelf shelf(folder);
  auto opened = shelf.open();
  CHECK(std::holds_alternative<HoldError>(opened));
  CHECK(std::get<HoldError>(opened).what.find("damaged") != std::string::npos);
}

TEST(Shelf, a_foreign_file_is_named) {
  write_entries(1, 2);
  std::ofstream(folder + "/pic-1") << "something else entirely";
  DiskShelf shelf(folder);
  auto opened = shelf.open();
  CHECK(std::holds_alternative<HoldError>(opened));
  CHECK(std::get<HoldError>(opened).what.find("not a wharfjunction file") != std::string::npos);
}

TEST(Shelf, a_picture_replaces_the_log_before_it) {
  write_entries(1, 6);
  {
    DiskShelf shelf(folder);
    shelf.open();
    Save save;
    save.picture = Picture{4, 3, {}, "state"};
    save.append = {{5, 3, 1, "body 5"}, {6, 3, 1, "body 6"}};
    CHECK(std::holds_alternative<std::monostate>(shelf.write(save)));
  }
  DiskShelf shelf(folder);
  const Recovered recovered = std::get<Recovered>(shelf.open());
  LONGS_EQUAL(4, recovered.picture.index);
  LONGS_EQUAL(2, recovered.entries.size());
  LONGS_EQUAL(5, recovered.entries.front().index);
}

TEST(Shelf, a_check_changes_nothing_and_names_newer_older_and_foreign_files) {
  {
    DiskShelf shelf(folder);
    shelf.identity();
    shelf.open();
    Save save;
    save.append = {{1, 1, 0, "x"}, {2, 1, 0, "y"}};
    shelf.write(save);
  }
  const std::string last = folder + "/seg-1";
  const auto size = fs::file_size(last);
  fs::resize_file(last, size - 1);
  auto verified = DiskShelf::verify(folder);
  const auto *findings = std::get_if<DiskShelf::Findings>(&verified);
  CHECK(findings != nullptr);
  LONGS_EQUAL(1, findings->recovered.entries.size());
  CHECK(findings->torn_bytes > 0);
  LONGS_EQUAL(size - 1, fs::file_size(last));
  const auto fault_with = [&](const std::string &mark) {
    std::ofstream(last, std::ios::binary | std::ios::in)
        .write(mark.data(), static_cast<std::streamsize>(mark.size()));
    auto again = DiskShelf::verify(folder);
    const auto *error = std::get_if<HoldError>(&again);
    return error == nullptr ? std::string() : error->what;
  };
  STRCMP_CONTAINS("newer format 99", fault_with("WHJSEG99").c_str());
  STRCMP_CONTAINS("older format 01", fault_with("WHJSEG01").c_str());
  STRCMP_CONTAINS("not a wharfjunction file", fault_with("ELSEWHER").c_str());
  CHECK(std::holds_alternative<HoldError>(DiskShelf::verify(folder + "/nowhere")));
}

TEST(Shelf, an_identity_is_made_once) {
  DiskShelf shelf(folder);
  const NodeId first = std::get<NodeId>(shelf.identity());
  DiskShelf again(folder);
  CHECK(first == std::get<NodeId>(again.identity()));
}

TEST(Shelf, a_batch_torn_in_its_middle_loses_only_what_no_one_was_told) {
  write_entries(1, 2);
  std::uintmax_t before = 0;
  {
    DiskShelf shelf(folder);
    CHECK(std::holds_alternative<Recovered>(shelf.open()));
    Save first;
    first.append.push_back({3, 3, 1, "body 3"});
    CHECK(std::holds_alternative<std::monostate>(shelf.write(first)));
    before = fs::file_size(newest_segment());
    Save batch;
    for (std::uint64_t index = 4; index <= 6; ++index)
      batch.append.push_back({index, 3, 1, std::string(600, 'x')});
    CHECK(std::holds_alternative<std::monostate>(shelf.write(batch)));
  }
  const std::string path = newest_segment(), copy = folder + "/kept";
  const std::uintmax_t size = fs::file_size(path);
  fs::copy_file(path, copy);
  for (std::uintmax_t hole = before; hole + 40 < size; hole += 97) {
    for (const auto &item : fs::directory_iterator(folder))
      if (item.path() != copy && item.path().filename().string().starts_with("seg-") && item.path() > path)
        fs::remove(item.path());
    fs::copy_file(copy, path, fs::copy_options::overwrite_existing);
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(hole));
    file << std::string(40, '\0');
    file.close();
    const std::size_t found = entries_found();
    CHECK(found >= 3 && found < 6);
    LONGS_EQUAL(found, entries_found());
  }
}

TEST(Shelf, a_segment_begun_when_power_went_stops_nobody) {
  write_entries(1, 3);
  int number = 100;
  for (const std::string &head :
       {std::string(), std::string(5, '\0'), std::string(40, '\0'), std::string("WHJSEG02abc")}) {
    std::ofstream(folder + "/seg-" + std::to_string(number), std::ios::binary) << head;
    LONGS_EQUAL(3, entries_found());
    LONGS_EQUAL(3, entries_found());
    number += 100;
  }
}
