// What logs say of one request, and where the time of late jobs went. Pure: it
// works on lines that were read.
#ifndef JUJUBE_CTL_EXPLANATION_H_
#define JUJUBE_CTL_EXPLANATION_H_

#include <string>
#include <vector>

#include "jujube/logging/parsed_line.h"

namespace jujube::ctl {

// The lines about a request in causal order, whatever the hosts' clocks say:
// each host's lines stay in their order, earlier terms of the control group
// come before later ones, and a call comes before what it caused and that
// before its answer. Lines about the workers that it used and about changes of
// leader are added where they fall.
std::vector<logging::ParsedLine>
linesAbout(const std::string &request,
           const std::vector<logging::ParsedLine> &all);

// The lines as a text for people, with the time since the first one, and the
// outcome below them.
std::string explanationText(const std::string &request,
                            const std::vector<logging::ParsedLine> &lines);

// A table of the jobs that missed their objective: for each queue how many, and
// the mean time of one by what it waited for.
std::string latenessText(const std::vector<logging::ParsedLine> &all);

} // namespace jujube::ctl

#endif // JUJUBE_CTL_EXPLANATION_H_
