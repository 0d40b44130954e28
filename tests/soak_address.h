/* Free addresses on the loopback interface. */
#ifndef SOAK_ADDRESS_H
#define SOAK_ADDRESS_H

char *soak_free_address(void);

#endif
