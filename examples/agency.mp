# Coordinación Estatal de Arriería y Carga de Montaña: one cell, three regions
# with one failure domain each. Cross-region traffic is paid, so work is thrifty.

declare domain north region north
  workers dispatch-north-[01-12], imaging-north-[01-05]
  entries entry-north-1, entry-north-2;
declare domain centre region centre
  workers dispatch-centre-[01-12], imaging-centre-[01-04]
  entries entry-centre-1, entry-centre-2;
declare domain south region south
  workers dispatch-south-[01-11], imaging-south-[01-04]
  entries entry-south-1, entry-south-2;

declare team strings weight 3;
declare team trails weight 1 accelerators 104;

declare service dispatch team strings count 35 cpu 8 memory 32GiB policy thrifty urgency urgent
  homes north 12, centre 12, south 11;
declare service trail-imaging team trails count 13 cpu 8 memory 16GiB accelerators 1 policy thrifty
  homes north 5, centre 4, south 4;
