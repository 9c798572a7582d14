// Writes the seeds of the wire decoders to files, as a corpus for libFuzzer.
//   write_wire_seeds FOLDER
#include <filesystem>
#include <fstream>
#include <iostream>

#include "fuzz/wire_seeds.h"

int main(int argc, char **argv) {
  if (argc != 2) {
    std::cerr << "usage: write_wire_seeds FOLDER\n";
    return 2;
  }
  const std::filesystem::path folder(argv[1]);
  for (const auto &[name, bytes] : jujube::fuzz::wireSeeds())
    if (!(std::ofstream(folder / name, std::ios::binary) << bytes)) {
      std::cerr << "can't write to " << folder << "; name a folder that exists "
                << "and that this user may write\n";
      return 1;
    }
  return 0;
}
