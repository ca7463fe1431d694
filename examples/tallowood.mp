# Tallowood Race Works: one cell, three regions with one failure domain each.

declare domain north region north
  workers survey-north-[01-12], imaging-north-[01-05]
  entries entry-north-1, entry-north-2;
declare domain centre region centre
  workers survey-centre-[01-12], imaging-centre-[01-04]
  entries entry-centre-1, entry-centre-2;
declare domain south region south
  workers survey-south-[01-11], imaging-south-[01-04]
  entries entry-south-1, entry-south-2;

declare team field weight 3;
declare team sonar weight 1 accelerators 104;

declare service survey team field count 35 cpu 4 memory 16GiB policy fast urgency urgent spread yes
  homes north 12, centre 12, south 11;
declare service imaging team sonar count 13 cpu 16 memory 64GiB accelerators 1 policy fast spread yes
  homes north 5, centre 4, south 4;
